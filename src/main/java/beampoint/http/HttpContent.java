package beampoint.http;

import org.glassfish.grizzly.Buffer;

/**
 * A part of an answer's body; the last one may be empty, and have a surplus: more stands behind it than
 * belongs to the answer.
 */
public record HttpContent(Buffer bytes, boolean last, boolean surplus) {}
