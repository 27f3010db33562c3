package beampoint.http;

/**
 * Takes the place of a message that is malformed; nothing more is read from its connection.
 *
 * @param problem what is wrong with the message
 */
public record HttpFault(String problem) {}
