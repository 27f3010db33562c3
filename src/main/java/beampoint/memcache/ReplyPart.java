package beampoint.memcache;

import org.glassfish.grizzly.Buffer;

/**
 * The next bytes of a long value. The last comes once the value's end was read, and tells whether more stands
 * behind it; where that end is not right the value is spoilt.
 */
public record ReplyPart(Buffer bytes, boolean last, boolean surplus) {}
