package beampoint.emulator;

import beampoint.fleet.message.Codec;
import beampoint.fleet.message.MalformedMessageException;
import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Message;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Encodes what emulated members send, to count its bytes, without keeping copies of equal states. */
final class MemberWire {

  /**
   * More than the encoded state of any emulated member. In a datagram with this much free space, no update
   * was left out.
   */
  private static final int MAX_STATE_BYTES = 250;
  private static final int MAX_CACHED_SIZES = 100_000;

  /** The length of a datagram, and the message that its receiver decodes. */
  record Datagram(int bytes, Message delivered) {}

  private final Codec codec;
  private final int bytesOfEmptyView;
  private final Map<MemberState, Integer> sizes = new HashMap<>();

  MemberWire(Codec codec) {
    this.codec = codec;
    this.bytesOfEmptyView = codec.writeView(List.of()).length;
  }

  /**
   * Encodes a message. The decoded message equals the original unless updates were left out. If none was,
   * the original itself is delivered, because with decoded copies thousands of members would hold millions of
   * equal texts.
   */
  Datagram encode(Message message) {
    byte[] bytes = codec.write(message);
    if (bytes.length <= Codec.MAX_DATAGRAM_BYTES - MAX_STATE_BYTES) {
      return new Datagram(bytes.length, message);
    }
    try {
      return new Datagram(bytes.length, codec.read(bytes, bytes.length));
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns the length of a full view. Sizes of states are cached, since most recur in the next view. */
  int bytesOfView(List<MemberState> view) {
    if (sizes.size() > MAX_CACHED_SIZES) {
      sizes.clear();
    }
    int bytes = bytesOfEmptyView;
    for (MemberState state : view) {
      bytes += sizes.computeIfAbsent(state, s -> codec.writeView(List.of(s)).length - bytesOfEmptyView);
    }
    return bytes;
  }
}
