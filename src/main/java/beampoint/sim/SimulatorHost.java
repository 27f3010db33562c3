package beampoint.sim;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.Endpoint;
import beampoint.Balancer.Event;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.Settings;
import beampoint.log.Log;
import beampoint.settings.InputException;
import beampoint.settings.LoadColumns;
import beampoint.settings.SettingsReader;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Runs any number of balancers for a simulator, which sends batches of messages on one stream and reads the
 * replies from another. Each balancer sees only its own events.
 */
public final class SimulatorHost {

  private static final Log LOG = Log.of("drill");

  private final BufferedReader in;
  private final OutputStream out;
  private final Function<Settings, Balancer> factory;
  private final Map<String, Instance> instances = new HashMap<>();
  private final StringBuilder reply = new StringBuilder();
  private int lineNumber;
  private String instanceId;
  private String lastReplyInstanceId;

  /** A balancer, and the columns of the load reports that it gets. */
  private record Instance(Balancer balancer, LoadColumns columns) {}

  public SimulatorHost(InputStream in, PrintStream out, Function<Settings, Balancer> factory) {
    this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
    this.out = out;
    this.factory = factory;
  }

  /**
   * Answers batches until the input ends.
   *
   * @throws InputException where a line is malformed or out of place
   */
  public void run() throws IOException, InputException {
    for (Message m = next(); m != null; m = next()) {
      if (!m.name.equals("turn")) {
        throw new InputException("line " + lineNumber + ": '" + m.name + "' outside a batch");
      }
      processBatch(m.number("moment-ms"));
      reply.append("done\n");
      out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
      out.flush();
      reply.setLength(0);
    }
  }

  private Message next() throws IOException, InputException {
    String text = in.readLine();
    while (text != null && text.isEmpty()) {
      lineNumber++;
      text = in.readLine();
    }
    lineNumber++;
    return text == null ? null : Message.parse(text, lineNumber);
  }

  private void processBatch(double now) throws IOException, InputException {
    instanceId = null;
    lastReplyInstanceId = null;
    for (Message m = next(); m != null; m = next()) {
      switch (m.name) {
        case "commit" -> {
          return;
        }
        case "context" -> instanceId = m.text("proxy-id");
        case "new_instance" -> instances.put(instanceId(m),
            new Instance(factory.apply(SettingsReader.read(m)), LoadColumns.read(m)));
        case "kill" -> {
          instance(m);
          instances.remove(instanceId);
        }
        case "endpoints" -> handle(now, m, readList(m));
        default -> {
          Event event = Codec.event(m, instance(m).columns);
          if (event != null) {
            handle(now, m, event);
          }
        }
      }
    }
    throw new InputException("line " + lineNumber + ": the input ends inside a batch");
  }

  private ListReceived readList(Message m) throws IOException, InputException {
    int count = m.integer("members-list", 0);
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Message entry = next();
      if (entry == null || !entry.name.equals("item")) {
        throw new InputException(
            "line " + lineNumber + ": the list announced " + count + " entries but has " + i);
      }
      endpoints.add(Codec.endpoint(entry));
    }
    return new ListReceived(Codec.listKind(m), endpoints);
  }

  private String instanceId(Message m) throws InputException {
    if (instanceId == null) {
      throw new InputException("line " + lineNumber + ": '" + m.name + "' before any context");
    }
    return instanceId;
  }

  private Instance instance(Message m) throws InputException {
    Instance instance = instances.get(instanceId(m));
    if (instance == null) {
      throw new InputException(
          "line " + lineNumber + ": '" + m.name + "' for the unknown instance '" + instanceId + "'");
    }
    return instance;
  }

  private void handle(double now, Message m, Event event) throws InputException {
    Balancer balancer = instance(m).balancer;
    try {
      for (Action action : balancer.handle(now, event)) {
        writeInstanceId();
        Codec.write(action, reply);
      }
    } catch (RuntimeException e) {
      LOG.error("the decision module failed at line " + lineNumber + " for " + instanceId, e);
      writeInstanceId();
      reply.append("fault\tbody-text=").append(String.valueOf(e).replaceAll("\\s", " ")).append('\n');
    }
  }

  /**
   * Writes a line that names the instance to which the following replies belong, unless the previous reply
   * was for the same one.
   */
  private void writeInstanceId() {
    if (!instanceId.equals(lastReplyInstanceId)) {
      reply.append("from\tproxy-id=").append(instanceId).append('\n');
      lastReplyInstanceId = instanceId;
    }
  }
}
