package beampoint.http;

/**
 * The head of an answer: its status, whether it says that nothing was done, whether the peer closes, how long
 * its body is (-1 where only its end will tell), whether it is all, as no body follows, whether more stands
 * behind it then, and whether the body lasts until the peer closes the connection, in order: a reset cuts it
 * off.
 */
public record HttpHead(int status, boolean declined, boolean closes, long length, boolean whole,
    boolean surplus, boolean untilClose) {}
