package beampoint.benchmark;

import beampoint.fleet.message.Codec;
import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Message;
import beampoint.fleet.message.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Bytes of the members' messages by the number of news in them, and what purges carried so would take. */
public final class MessageBytes {

  private static final int PROXIES = 2_300;
  private static final double PURGES_PER_SECOND = 27;
  private static final int KEY_BYTES = 32; // assumed: 16 bytes of a hash in hexadecimal
  private static final int[] NEWS = {0, 1, 4, 8, 16};
  private static final int[] COPIES = {1, 3, 48}; // once, to three, as often as membership does it

  private MessageBytes() {}

  public static void main(String[] args) {
    Codec codec = new Codec("north");
    List<LinearFit.Point> points = new ArrayList<>();
    for (int count : NEWS) {
      List<MemberState> news = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        news.add(member(i));
      }
      int bytes = codec.write(new Message(Message.Kind.GOSSIP, 100_000, member(PROXIES), "", news)).length;
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

  /** A purge has the length of news whose member is a key: by whom, in which order, which key. */
  private static void purges(Codec codec, LinearFit fit) {
    MemberState by = member(1);
    MemberState purge =
        new MemberState("p".repeat(KEY_BYTES), "", Status.ALIVE, 4_000_000_000L, false, by.member());
    Message none = new Message(Message.Kind.GOSSIP, 100_000, by, "", List.of());
    Message one = new Message(Message.Kind.GOSSIP, 100_000, by, "", List.of(purge));
    double each = codec.write(one).length - codec.write(none).length;
    System.out.printf(Locale.ROOT, "a purge among news: %.0f bytes; a datagram of its own: %.0f%n", each,
        fit.intercept() + each);
    for (int copies : COPIES) {
      System.out.printf(Locale.ROOT, "%.0f purges a second, each sent %d times by a proxy: %.0f bytes a"
          + " second packed, %.0f in datagrams of their own%n", PURGES_PER_SECOND, copies,
          PURGES_PER_SECOND * copies * each, PURGES_PER_SECOND * copies * (each + fit.intercept()));
    }
  }
}
