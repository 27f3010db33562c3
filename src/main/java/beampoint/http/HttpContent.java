package beampoint.http;

import org.glassfish.grizzly.Buffer;

/** A part of an answer's body; the last one may be empty. */
public record HttpContent(Buffer bytes, boolean last) {}
