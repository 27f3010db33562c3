package beampoint.client;

import beampoint.buffer.Stream;
import beampoint.exchange.Exchange;
import beampoint.memcache.Command;
import org.glassfish.grizzly.Buffer;

/** The place of one command's answer among those of its connection. */
final class AnswerSlot {
  Exchange exchange;
  Command command;
  Buffer answer;
  Stream stream; // in place of an answer, or of its rest
  boolean streams;
  boolean ends; // the connection, once this answer is written
}
