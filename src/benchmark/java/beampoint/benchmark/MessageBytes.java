package beampoint.benchmark;

import beampoint.fleet.message.Codec;
import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Message;
import beampoint.fleet.message.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Sizes of membership messages by the number of updates in them, and of purges if they were sent so. */
public final class MessageBytes {

  private static final int PROXIES = 2_300;
  private static final double PURGES_PER_SECOND = 27;
  private static final int KEY_BYTES = 32; // a hash of 16 bytes in hexadecimal (an assumption)
  private static final int[] UPDATE_COUNTS = {0, 1, 4, 8, 16};
  // Sent once, to three members, and as often as membership sends an update.
  private static final int[] COPIES = {1, 3, 48};

  private MessageBytes() {}

  public static void main(String[] args) {
    Codec codec = new Codec("north");
    List<LinearFit.Point> points = new ArrayList<>();
    for (int count : UPDATE_COUNTS) {
      List<MemberState> updates = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        updates.add(member(i));
      }
      int bytes = codec.write(new Message(Message.Kind.GOSSIP, 100_000, member(PROXIES), "", updates)).length;
      points.add(new LinearFit.Point(count, bytes));
      System.out.println("message with " + count + " news: " + bytes + " bytes");
    }
    LinearFit fit = LinearFit.of(points);
    System.out.println(fit.text("bytes of a message by news", "bytes"));
    purges(codec, fit);
  }

  private static MemberState member(int number) {
    String name = String.format(Locale.ROOT, "site-%03d-n%04d", number % 180, number);
    String address = "10.131." + number / 250 + "." + number % 250 + ":7946";
    return new MemberState(name, address, Status.ALIVE, 3, false, name);
  }

  /** A purge is as long as an update with the key as member: it has a sender, a sequence number and a key. */
  private static void purges(Codec codec, LinearFit fit) {
    MemberState by = member(1);
    MemberState purge =
        new MemberState("p".repeat(KEY_BYTES), "", Status.ALIVE, 4_000_000_000L, false, by.member());
    Message emptyMessage = new Message(Message.Kind.GOSSIP, 100_000, by, "", List.of());
    Message purgeMessage = new Message(Message.Kind.GOSSIP, 100_000, by, "", List.of(purge));
    double purgeBytes = codec.write(purgeMessage).length - codec.write(emptyMessage).length;
    System.out.printf(Locale.ROOT, "a purge among news: %.0f bytes; a datagram of its own: %.0f%n",
        purgeBytes, fit.intercept() + purgeBytes);
    for (int copies : COPIES) {
      System.out.printf(Locale.ROOT, "%.0f purges a second, each sent %d times by a proxy: %.0f bytes a"
          + " second packed, %.0f in datagrams of their own%n", PURGES_PER_SECOND, copies,
          PURGES_PER_SECOND * copies * purgeBytes,
          PURGES_PER_SECOND * copies * (purgeBytes + fit.intercept()));
    }
  }
}
