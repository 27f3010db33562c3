package beampoint.http;

/** The head of a request: what is asked, of what; and whether it is all, as no body follows. */
public record HttpRequest(String method, String target, boolean whole) {}
