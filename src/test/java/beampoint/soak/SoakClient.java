package beampoint.soak;

import beampoint.Stub;
import beampoint.soak.Request.Kind;
import beampoint.soak.SoakPlan.ClientWay;
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

/** A client that asks again and again on one connection, and on a new one where that has ended. */
final class SoakClient extends Thread {

  private static final double REFUSED_PAUSE_MS = 20;
  private static final int LONGEST_PIPELINE = 20;
  private static final int MIN_FLOOD = 1000; // requests
  private static final int MAX_FLOOD = 10_000;
  private static final double LEAVES_FLOOD_MS = 200; // at the latest
  private static final double AFTER_FLOOD_MS = 1000;
  private static final double WRITES = 0.2; // of all requests
  private static final int GIVES_UP_MS = 1500; // beyond an answer's time: then it will never come

  private final int port;
  private final ClientWay way;
  private final double deadlineMs;
  private final RunContext context;
  private final RunClock clock;
  private final SplittableRandom random;
  private final AtomicInteger crossed; // requests on a connection that ended with no answer, never forwarded
  private volatile boolean stopped;
  private Socket socket;
  private InputStream in;

  SoakClient(int port, ClientWay way, double deadlineMs, RunContext context, SplittableRandom random,
      AtomicInteger crossed) {
    super("soak-client");
    this.port = port;
    this.way = way;
    this.deadlineMs = deadlineMs;
    this.context = context;
    this.clock = context.clock();
    this.random = random;
    this.crossed = crossed;
    setDaemon(true);
  }

  /** Asks nothing more once what is open has ended. */
  void end() {
    stopped = true;
  }

  @Override
  public void run() {
    while (!stopped) {
      try {
        if (socket == null) {
          connect();
        }
        round();
        RunClock.sleep(random.nextInt(30));
      } catch (IOException e) {
        close();
        RunClock.sleep(REFUSED_PAUSE_MS); // nobody listens
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
      // it has ended already
    }
    socket = null;
  }

  private void round() throws IOException {
    switch (way) {
      case PLAIN -> ask(1, 0, 1);
      case PIPELINED -> ask(1 + random.nextInt(LONGEST_PIPELINE), 0, 1);
      case IN_PIECES -> ask(1, 0, 3);
      case READS_SLOWLY -> ask(1 + random.nextInt(3), 50 + random.nextInt(250), 1);
      case LEAVES -> {
        if (random.nextInt(2) == 0) {
          ask(1, 0, 1);
        } else {
          leave(1, random.nextDouble() * deadlineMs / 2);
        }
      }
      case FLOODS_AND_LEAVES -> {
        leave(flood(), random.nextDouble() * LEAVES_FLOOD_MS);
        RunClock.sleep(AFTER_FLOOD_MS);
      }
      case FLOODS -> {
        ask(flood(), 0, 1);
        RunClock.sleep(AFTER_FLOOD_MS);
      }
      default -> halfACommand();
    }
  }

  private int flood() {
    return MIN_FLOOD + random.nextInt(MAX_FLOOD - MIN_FLOOD);
  }

  private Request next() {
    double draw = random.nextDouble();
    Kind kind = draw >= WRITES ? Kind.READ : draw < WRITES / 2 ? Kind.KEYED : Kind.UNSAFE;
    return context.requests().next(kind, deadlineMs);
  }

  private void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private void ask(int count, double restMs, int pieces) throws IOException {
    List<Request> asked = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      asked.add(next());
    }
    List<Request> left = exchange(asked, restMs, pieces);
    if (!left.isEmpty()) {
      sendAgain(left);
    }
  }

  /** Sends them all, reads their answers in order; returns those whose connection ended before. */
  private List<Request> exchange(List<Request> asked, double restMs, int pieces) {
    int answered = 0;
    try {
      send(asked, pieces);
      RunClock.sleep(restMs);
      double now = clock.now();
      if (context.injects(Check.ANSWER_IN_TIME)) {
        RunClock.sleep(deadlineMs + GIVES_UP_MS);
      }
      asked.forEach(request -> request.readFrom(now));
      for (; answered < asked.size(); answered++) {
        if (answered > LONGEST_PIPELINE) {
          // The time for which an answer waits for those before it does not count.
          asked.get(answered).readFrom(clock.now() + Bounds.LOST_AFTER_MS);
        }
        if (!readAnswer(asked.get(answered))) {
          break;
        }
      }
    } catch (IOException e) {
      // it was reset
    }
    List<Request> unanswered = List.copyOf(asked.subList(answered, asked.size()));
    if (!unanswered.isEmpty()) {
      close();
      unanswered.forEach(request -> request.ended(clock.now()));
    }
    return unanswered;
  }

  private void send(List<Request> asked, int pieces) throws IOException {
    StringBuilder text = new StringBuilder();
    asked.forEach(request -> text.append(request.words()));
    int length = text.length();
    for (int i = 0; i < pieces; i++) {
      write(text.substring(i * length / pieces, (i + 1) * length / pieces));
      if (i < pieces - 1) {
        RunClock.sleep(5 + random.nextInt(30));
      }
    }
    double now = clock.now();
    asked.forEach(request -> request.sent(now));
  }

  /** Reads the next answer; false where the connection has ended. */
  private boolean readAnswer(Request request) throws IOException {
    socket.setSoTimeout((int) deadlineMs + GIVES_UP_MS);
    String line;
    try {
      line = Stub.readLine(in);
    } catch (SocketTimeoutException e) {
      context.found().add(new Violation(Check.ANSWER_IN_TIME, request.sentAt(), clock.now(),
          clock.now() - request.sentAt() - request.waitMs - Bounds.LOST_AFTER_MS, request.id,
          "no answer at all; sent at " + Math.round(request.sentAt()) + " ms"));
      return false;
    }
    if (line == null) {
      return false;
    }
    String[] words = line.split(" ");
    boolean isSpoilt = false;
    if (words[0].equals("VA") && words.length > 2) {
      int length = Integer.parseInt(words[1]);
      byte[] value = in.readNBytes(length + 2);
      if (value.length < length + 2) {
        return false;
      }
      String text = new String(value, 0, length, StandardCharsets.ISO_8859_1);
      isSpoilt = !words[2].equals("O" + request.id) || !text.equals(request.id);
    } else if (words[0].equals("HD")) {
      isSpoilt = words.length < 3 || !words[1].equals("O" + request.id) || !words[2].equals("c" + request.id);
    }
    if (context.injects(Check.NOT_LOST)) {
      return false;
    }
    request.answered(clock.now(), isSpoilt);
    return true;
  }

  /** What crossed the end of its connection unread is sent once more, on a new one. */
  private void sendAgain(List<Request> unanswered) throws IOException {
    List<Request> unread = new ArrayList<>();
    for (Request request : unanswered) {
      if (!request.isForwarded()) {
        crossed.incrementAndGet();
        unread.add(request);
      }
    }
    if (!unread.isEmpty() && !stopped) {
      connect();
      unread.forEach(Request::again);
      exchange(unread, 0, 1);
    }
  }

  private void leave(int count, double afterMs) throws IOException {
    List<Request> asked = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      asked.add(next());
      asked.get(i).left(Double.MAX_VALUE); // nothing is owed to it from here on
    }
    send(asked, 1);
    RunClock.sleep(afterMs);
    close();
    double now = clock.now() - (context.injects(Check.NOT_AFTER_LEAVING) ? 10 * deadlineMs : 0);
    asked.forEach(request -> request.left(now));
  }

  private void halfACommand() throws IOException {
    write("mg k1 v O");
    double from = clock.now();
    socket.setSoTimeout((int) Bounds.BAD_CLIENT_MS * 2);
    try {
      in.read();
    } catch (SocketTimeoutException e) {
      // told below
    } catch (IOException e) {
      // a reset is an end
    }
    double took = clock.now() - from + (context.injects(Check.BAD_CLIENT) ? Bounds.BAD_CLIENT_MS : 0);
    double beyond = took - Bounds.BAD_CLIENT_MS - Bounds.LIMIT_SLACK_MS;
    if (beyond > 0) {
      context.found().add(new Violation(Check.BAD_CLIENT, from, clock.now(), beyond, "half a command",
          "neither an error nor a close for " + Math.round(took) + " ms"));
    }
    close();
  }
}
