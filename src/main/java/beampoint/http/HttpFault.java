package beampoint.http;

/** What came can't be read as an answer, and nothing after it will be read. */
public record HttpFault(String problem) {}
