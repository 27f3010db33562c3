package beampoint.cli;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which would end the process otherwise. The Java platform has no public interface for
 * signals; its internal one is used by reflection because the compiler warns of any direct use.
 */
final class SighupHandler {

  private SighupHandler() {}

  /**
   * Runs a task at each SIGHUP, on a separate thread. Returns false if this process was started with the
   * signal ignored, as nohup does: a process inherits that, and the JVM then never receives the signal.
   */
  static boolean install(Runnable task) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object instance = Proxy.newProxyInstance(SighupHandler.class.getClassLoader(), new Class<?>[] {handler},
          (proxy, method, arguments) -> {
            task.run();
            return null;
          });
      Object previous = signal.getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), instance);
      return previous != handler.getField("SIG_IGN").get(null);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("can't install a handler for SIGHUP", e);
    }
  }
}
