package beampoint.http;

/** The head of an answer: its status, whether it says that nothing was done, and whether the peer closes. */
public record HttpHead(int status, boolean declined, boolean closes) {}
