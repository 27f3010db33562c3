package beampoint.soak;

import beampoint.Stub;
import beampoint.soak.Request.Kind;
import beampoint.soak.SoakPlan.ClientBehavior;
import beampoint.soak.Violation.Check;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** A client that repeatedly sends requests on one connection and reconnects if that ends. */
final class SoakClient extends Thread {

  private static final double RECONNECT_DELAY_MS = 20;
  private static final int MAX_PIPELINE = 20;
  private static final int MIN_FLOOD_REQUESTS = 1000;
  private static final int MAX_FLOOD_REQUESTS = 10_000;
  private static final double MAX_FLOOD_STAY_MS = 200; // before the client disconnects
  private static final double FLOOD_INTERVAL_MS = 1000;
  private static final double WRITE_RATIO = 0.2; // part of all requests
  private static final int ANSWER_TIMEOUT_MARGIN_MS = 1500; // after the deadline; no answer comes later

  private final int port;
  private final ClientBehavior behavior;
  private final double deadlineMs;
  private final RunContext context;
  private final RunClock clock;
  private final SplittableRandom random;
  private final AtomicInteger unreadAtClose; // requests not forwarded before their connection closed
  private volatile boolean stopped;
  private Socket socket;
  private InputStream in;

  SoakClient(int port, ClientBehavior behavior, double deadlineMs, RunContext context,
      SplittableRandom random, AtomicInteger unreadAtClose) {
    super("soak-client");
    this.port = port;
    this.behavior = behavior;
    this.deadlineMs = deadlineMs;
    this.context = context;
    this.clock = context.clock();
    this.random = random;
    this.unreadAtClose = unreadAtClose;
    setDaemon(true);
  }

  /** Makes the client stop after the requests that are in flight. */
  void finish() {
    stopped = true;
  }

  @Override
  public void run() {
    while (!stopped) {
      try {
        if (socket == null) {
          connect();
        }
        runRound();
        RunClock.sleep(random.nextInt(30));
      } catch (IOException e) {
        close();
        RunClock.sleep(RECONNECT_DELAY_MS); // the connection was refused or has ended
      }
    }
    close();
  }

  private void connect() throws IOException {
    socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  private void close() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // the connection has ended already
    }
    socket = null;
  }

  private void runRound() throws IOException {
    switch (behavior) {
      case PLAIN -> runRequests(1, 0, 1);
      case PIPELINED -> runRequests(1 + random.nextInt(MAX_PIPELINE), 0, 1);
      case SPLIT_WRITES -> runRequests(1, 0, 3);
      case SLOW_READER -> runRequests(1 + random.nextInt(3), 50 + random.nextInt(250), 1);
      case DISCONNECTS -> {
        if (random.nextInt(2) == 0) {
          runRequests(1, 0, 1);
        } else {
          sendAndDisconnect(1, random.nextDouble() * deadlineMs / 2);
        }
      }
      case FLOODS_AND_DISCONNECTS -> {
        sendAndDisconnect(floodSize(), random.nextDouble() * MAX_FLOOD_STAY_MS);
        RunClock.sleep(FLOOD_INTERVAL_MS);
      }
      case FLOODS -> {
        runRequests(floodSize(), 0, 1);
        RunClock.sleep(FLOOD_INTERVAL_MS);
      }
      default -> sendIncompleteCommand();
    }
  }

  private int floodSize() {
    return MIN_FLOOD_REQUESTS + random.nextInt(MAX_FLOOD_REQUESTS - MIN_FLOOD_REQUESTS);
  }

  private Request newRequest() {
    double draw = random.nextDouble();
    Kind kind = draw >= WRITE_RATIO ? Kind.READ : draw < WRITE_RATIO / 2 ? Kind.KEYED : Kind.UNSAFE;
    return context.requests().create(kind, deadlineMs);
  }

  private void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private void runRequests(int count, double readDelayMs, int chunks) throws IOException {
    List<Request> requests = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      requests.add(newRequest());
    }
    List<Request> unanswered = exchange(requests, readDelayMs, chunks);
    if (!unanswered.isEmpty()) {
      resendUnforwarded(unanswered);
    }
  }

  /** Sends all requests and reads their answers in order; returns those that the connection ended before. */
  private List<Request> exchange(List<Request> requests, double readDelayMs, int chunks) {
    int answered = 0;
    try {
      send(requests, chunks);
      RunClock.sleep(readDelayMs);
      double now = clock.now();
      if (context.injects(Check.ANSWER_IN_TIME)) {
        RunClock.sleep(deadlineMs + ANSWER_TIMEOUT_MARGIN_MS);
      }
      requests.forEach(request -> request.setReadingSince(now));
      for (; answered < requests.size(); answered++) {
        if (answered > MAX_PIPELINE) {
          // The time that an answer is delayed by the answers before it does not count.
          requests.get(answered).setReadingSince(clock.now() + Bounds.ANSWER_GRACE_MS);
        }
        if (!readAnswer(requests.get(answered))) {
          break;
        }
      }
    } catch (IOException e) {
      // the connection was reset
    }
    List<Request> unanswered = List.copyOf(requests.subList(answered, requests.size()));
    if (!unanswered.isEmpty()) {
      close();
      unanswered.forEach(request -> request.recordConnectionEnd(clock.now()));
    }
    return unanswered;
  }

  private void send(List<Request> requests, int chunks) throws IOException {
    StringBuilder text = new StringBuilder();
    requests.forEach(request -> text.append(request.command()));
    int length = text.length();
    for (int i = 0; i < chunks; i++) {
      write(text.substring(i * length / chunks, (i + 1) * length / chunks));
      if (i < chunks - 1) {
        RunClock.sleep(5 + random.nextInt(30));
      }
    }
    double now = clock.now();
    requests.forEach(request -> request.recordSent(now));
  }

  /** Reads the next answer; false if the connection has ended or no answer has come in time. */
  private boolean readAnswer(Request request) throws IOException {
    socket.setSoTimeout((int) deadlineMs + ANSWER_TIMEOUT_MARGIN_MS);
    String line;
    try {
      line = Stub.readLine(in);
    } catch (SocketTimeoutException e) {
      context.violations().add(new Violation(Check.ANSWER_IN_TIME, request.sentAt(), clock.now(),
          clock.now() - request.sentAt() - request.deadlineMs - Bounds.ANSWER_GRACE_MS, request.id,
          "no answer at all; sent at " + Math.round(request.sentAt()) + " ms"));
      return false;
    }
    if (line == null) {
      return false;
    }
    String[] fields = line.split(" ");
    boolean isWrong = false;
    if (fields[0].equals("VA") && fields.length > 2) {
      int length = Integer.parseInt(fields[1]);
      byte[] value = in.readNBytes(length + 2);
      if (value.length < length + 2) {
        return false;
      }
      String text = new String(value, 0, length, StandardCharsets.ISO_8859_1);
      isWrong = !fields[2].equals("O" + request.id) || !request.hasValue(text);
    } else if (fields[0].equals("HD")) {
      isWrong =
          fields.length < 3 || !fields[1].equals("O" + request.id) || !fields[2].equals("c" + request.id);
    }
    if (context.injects(Check.NOT_LOST)) {
      return false;
    }
    if (!line.startsWith("SERVER_ERROR") && !context.injects(Check.NOT_CUT_OFF)) {
      request.recordServed();
    }
    request.recordAnswer(clock.now(), isWrong);
    return true;
  }

  /** Sends the requests that were not forwarded before the close once more, on a new connection. */
  private void resendUnforwarded(List<Request> unanswered) throws IOException {
    List<Request> unforwarded = new ArrayList<>();
    for (Request request : unanswered) {
      if (!request.isForwarded()) {
        unreadAtClose.incrementAndGet();
        unforwarded.add(request);
      }
    }
    if (!unforwarded.isEmpty() && !stopped) {
      connect();
      unforwarded.forEach(Request::recordResend);
      exchange(unforwarded, 0, 1);
    }
  }

  private void sendAndDisconnect(int count, double delayMs) throws IOException {
    List<Request> requests = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      requests.add(newRequest());
      requests.get(i).recordClientClose(Double.MAX_VALUE); // no answer is required any more
    }
    send(requests, 1);
    RunClock.sleep(delayMs);
    close();
    double now = clock.now() - (context.injects(Check.NOT_AFTER_LEAVING) ? 10 * deadlineMs : 0);
    requests.forEach(request -> request.recordClientClose(now));
  }

  private void sendIncompleteCommand() throws IOException {
    write("mg k1 v O");
    double from = clock.now();
    socket.setSoTimeout((int) Bounds.INCOMPLETE_COMMAND_TIMEOUT_MS * 2);
    try {
      in.read();
    } catch (SocketTimeoutException e) {
      // reported below
    } catch (IOException e) {
      // a reset counts as a close
    }
    double elapsedMs = clock.now() - from
        + (context.injects(Check.BAD_CLIENT) ? Bounds.INCOMPLETE_COMMAND_TIMEOUT_MS : 0);
    double excessMs = elapsedMs - Bounds.INCOMPLETE_COMMAND_TIMEOUT_MS - Bounds.TIMEOUT_TOLERANCE_MS;
    if (excessMs > 0) {
      context.violations().add(new Violation(Check.BAD_CLIENT, from, clock.now(), excessMs, "half a command",
          "neither an error nor a close for " + Math.round(elapsedMs) + " ms"));
    }
    close();
  }
}
