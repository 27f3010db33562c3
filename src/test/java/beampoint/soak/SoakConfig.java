package beampoint.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The operators' start command and the configuration files for the processes of a run. */
final class SoakConfig {

  static final int MAX_DESCRIPTORS = 256;
  static final int MAX_MEMORY_MB = 192;
  /** The target time of reads as a part of their deadline, if replies are slow: no later one is of use. */
  private static final double SLOW_READ_TARGET = 0.4;
  private static final Path DEPLOY = Path.of("deploy/balancer.toml");

  private static final String TEMPLATE = """
      {"name":"NAME","listen":"127.0.0.1:PORT",OPS"discovery":"DISCOVERY","seed":"8c1f30d27a5be964",
       "limits":{"sockets":SOCKETS,"memory_mb":MEMORY},"known":KNOWN,
       "settings":{"discovery":"automatic","siblings":1,"zone":0,"localities":["a"],"skus":["m2","origin"],
        "family-info":{"mode":"aside","origin-kind":1},
        "policy-limits":{"max-attempts":ATTEMPTS,"probes":true,"retry-after":true,"max-retry-after-ms":700,
         "connect-timeout-ms":200,"conn-idle-ms":5000},
        "rules":{"drain-grace-ms":GRACE},
        "lanes":[{"name":"read","idempotency":"safe","target-ms":READ_TARGET,"hard-limit-ms":DEADLINE,
           "points":1,"late-worth":READ_LATE},
          {"name":"put","idempotency":"keyed","group":"all","dedup-window-ms":WINDOW,"target-ms":DEADLINE,
           "hard-limit-ms":DEADLINE,"points":1},
          {"name":"post","idempotency":"unsafe","target-ms":DEADLINE,"hard-limit-ms":DEADLINE,"points":1}],
        "accounts":[{"name":"acme","quota-per-s":5000}]}}
      """;

  private SoakConfig() {}

  /** The command {@code run} of the operators' deploy file; paths are relative to the project's directory. */
  static List<String> command() throws IOException {
    for (String line : Files.readAllLines(DEPLOY)) {
      if (line.startsWith("run = ")) {
        String commandLine = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        List<String> command = new ArrayList<>(List.of(commandLine.split(" ")));
        command.remove("exec");
        return command;
      }
    }
    throw new IOException(DEPLOY + ": no line begins with 'run = '");
  }

  /** A configuration in JSON; without an operations address if {@code opsPort} is 0. */
  static String json(String name, int port, int opsPort, String discovery, String known, SoakPlan plan,
      int attempts) {
    double readTargetMs = plan.slowReplies() ? plan.deadlineMs() * SLOW_READ_TARGET : plan.deadlineMs();
    return TEMPLATE.replace("NAME", name).replace("PORT", "" + port)
        .replace("OPS", opsPort == 0 ? "" : "\"ops\":\"127.0.0.1:" + opsPort + "\",")
        .replace("DISCOVERY", discovery).replace("SOCKETS", "" + MAX_DESCRIPTORS)
        .replace("MEMORY", "" + MAX_MEMORY_MB)
        .replace("KNOWN", known).replace("ATTEMPTS", "" + attempts)
        .replace("GRACE", "" + Math.round(Bounds.DRAIN_GRACE_MS))
        .replace("WINDOW", "" + Math.round(Bounds.DEDUP_WINDOW_MS))
        .replace("READ_TARGET", "" + Math.round(readTargetMs))
        .replace("READ_LATE", plan.slowReplies() ? "0" : "0.5")
        .replace("DEADLINE", "" + Math.round(plan.deadlineMs()));
  }
}
