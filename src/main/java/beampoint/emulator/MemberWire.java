package beampoint.emulator;

import beampoint.fleet.message.Codec;
import beampoint.fleet.message.MalformedMessageException;
import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Message;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The form in bytes of what emulated members send, without copies of what all of them know. */
final class MemberWire {

  /** More than the news of any emulated member take: where so much is free, none was left out. */
  private static final int ROOM = 250;
  private static final int MAX_SIZES = 100_000;

  /** A datagram's length, and the message as it is read. */
  record Datagram(int bytes, Message arrives) {}

  private final Codec codec;
  private final int bytesOfEmptyView;
  private final Map<MemberState, Integer> sizes = new HashMap<>();

  MemberWire(Codec codec) {
    this.codec = codec;
    this.bytesOfEmptyView = codec.writeView(List.of()).length;
  }

  /**
   * Writes a message for its length. What is read from it equals the message unless something was left out;
   * so the message itself is delivered, as thousands of members would else hold millions of equal texts.
   */
  Datagram datagram(Message message) {
    byte[] bytes = codec.write(message);
    if (bytes.length <= Codec.MAX_DATAGRAM_BYTES - ROOM) {
      return new Datagram(bytes.length, message);
    }
    try {
      return new Datagram(bytes.length, codec.read(bytes, bytes.length));
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  /** How long a whole view is, by the sizes of its entries, of which most stand in the next view as well. */
  int bytesOfView(List<MemberState> view) {
    if (sizes.size() > MAX_SIZES) {
      sizes.clear();
    }
    int bytes = bytesOfEmptyView;
    for (MemberState news : view) {
      bytes += sizes.computeIfAbsent(news, n -> codec.writeView(List.of(n)).length - bytesOfEmptyView);
    }
    return bytes;
  }
}
