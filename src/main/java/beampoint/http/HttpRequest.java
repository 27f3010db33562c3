package beampoint.http;

/**
 * The head of a request.
 *
 * @param method the method, such as GET
 * @param target the path, with its query if there is one
 * @param whole true if no body follows
 */
public record HttpRequest(String method, String target, boolean whole) {}
