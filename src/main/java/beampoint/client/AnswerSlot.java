package beampoint.client;

import beampoint.buffer.Stream;
import beampoint.exchange.Exchange;
import beampoint.memcache.Command;
import org.glassfish.grizzly.Buffer;

/** The slot of one command's answer in the order of answers on its connection. */
final class AnswerSlot {
  Exchange exchange;
  Command command;
  Buffer answer;
  Stream stream; // of a long value, whose bytes are written as they are received
  boolean streamStarted;
  boolean closesConnection; // once this answer is written
}
