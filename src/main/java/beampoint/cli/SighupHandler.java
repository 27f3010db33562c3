package beampoint.cli;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, which would end the program if nobody handled it. The Java platform has no public interface to
 * signals; its own is reached by name, as the compiler warns of any other use.
 */
final class Hangup {

  private Hangup() {}

  /**
   * Has a task run at each SIGHUP, on a thread of its own. False where whoever started this process has the
   * signal ignored, as nohup does: that is inherited, and Java then never hears of one.
   */
  static boolean handle(Runnable task) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object handling = Proxy.newProxyInstance(Hangup.class.getClassLoader(), new Class<?>[] {handler},
          (self, method, arguments) -> {
            task.run();
            return null;
          });
      Object before = signal.getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handling);
      return before != handler.getField("SIG_IGN").get(null);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("SIGHUP can't be handled", e);
    }
  }
}
