package beampoint.memcache;

import org.glassfish.grizzly.Buffer;

/**
 * The next bytes of a long value. The last part has no bytes; it follows once the line end behind the value
 * was read. If that is not correct the value is corrupt, and no last part follows.
 *
 * @param surplus in the last part, true if more bytes were read than belong to the reply
 */
public record ReplyPart(Buffer bytes, boolean last, boolean surplus) {}
