package beampoint.http;

/**
 * The head of a response.
 *
 * @param status the status code
 * @param declined true if the server states that it did not carry out the request
 * @param closes true if the server closes the connection after the response
 * @param length the length of the body in bytes, -1 if the head does not state it (a chunked body, or one
 *     that lasts until the connection closes)
 * @param hasNoBody true if no body follows
 * @param surplus true if no body follows and more bytes were received than belong to the response
 * @param untilClose true if the body ends when the server closes the connection in order; a reset cuts it off
 */
public record HttpHead(int status, boolean declined, boolean closes, long length, boolean hasNoBody,
    boolean surplus, boolean untilClose) {}
