package beampoint.http;

import org.glassfish.grizzly.Buffer;

/**
 * A part of the body of a message.
 *
 * @param bytes the part; empty for the end of a chunked body
 * @param last true for the last part
 * @param surplus true for a last part after which more bytes were received than belong to the message
 */
public record HttpContent(Buffer bytes, boolean last, boolean surplus) {}
