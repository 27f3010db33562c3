package beampoint;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Starts Java processes from the classes of the build, and sends them signals. */
public final class TestProcess {

  private static final String CLASS_PATH =
      System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));

  private TestProcess() {}

  /** A process that runs a class's main method, with flags for the JVM; stderr is merged into stdout. */
  public static ProcessBuilder java(Class<?> main, List<String> flags, String... arguments) {
    List<String> command = new ArrayList<>(flags);
    command.add(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-cp", CLASS_PATH, main.getName()));
    command.addAll(List.of(arguments));
    return new ProcessBuilder(command).redirectErrorStream(true);
  }

  /** Sends a signal, named without "SIG"; false where the process has ended. */
  public static boolean signal(Process process, String name) throws IOException, InterruptedException {
    return new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor() == 0;
  }
}
