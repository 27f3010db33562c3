package beampoint.http;

/**
 * The head of a request.
 *
 * @param method the method, such as GET
 * @param target the path, with its query if there is one
 * @param hasNoBody true if no body follows
 */
public record HttpRequest(String method, String target, boolean hasNoBody) {}
