package beampoint.http;

/**
 * The head of an answer: its status, whether it says that nothing was done, whether the peer closes, how long
 * its body is (-1 where only its end will tell), whether it is all, as no body follows, and whether more
 * stands behind it then.
 */
public record HttpHead(int status, boolean declined, boolean closes, long length, boolean whole,
    boolean surplus) {}
