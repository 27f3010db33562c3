package beampoint.settings;

import beampoint.Balancer.DedupGroup;
import beampoint.Balancer.Idempotency;
import beampoint.Balancer.RequestClass;
import beampoint.Balancer.Settings;
import beampoint.Balancer.SettingsChanged;
import java.util.ArrayList;
import java.util.List;

/** Steps from one set of settings to the next while requests under both sets are in flight. Does no I/O. */
public final class Transition {

  private Transition() {}

  /** Settings of a balancer, with the names of the classes, tenants, zones and kinds that they number. */
  public record NamedSettings(Settings settings, SocketSettings socketSettings) {}

  /**
   * The next settings, except that those which take effect only at a start are kept from the current ones:
   * how hosts are numbered and how the host list is followed.
   */
  public static NamedSettings keepStartupSettings(NamedSettings current, NamedSettings next) {
    Settings currentSettings = current.settings();
    Settings nextSettings = next.settings();
    return new NamedSettings(
        new Settings(currentSettings.seed(), nextSettings.siblings(), currentSettings.zone(),
            currentSettings.listPushed(), currentSettings.weightSource(),
            currentSettings.originKind(), nextSettings.overShareWorth(), nextSettings.limits(),
            nextSettings.rules(), nextSettings.prices(),
            nextSettings.classes(), nextSettings.tenants()),
        new SocketSettings(next.socketSettings().classes(), next.socketSettings().tenants(),
            current.socketSettings().zones(),
            current.socketSettings().kinds(), next.socketSettings().peerIdleTimeoutMs(),
            next.socketSettings().loadColumns()));
  }

  /**
   * The settings in force while requests under both sets arrive. Classes that the next settings drop are
   * kept, so that a request that was valid when it was sent is not refused. A class whose idempotency changes
   * gets the stricter of both, so that no request takes effect twice because its rules changed in flight.
   */
  public static NamedSettings duringTransition(NamedSettings current, NamedSettings next) {
    List<String> names = new ArrayList<>(next.socketSettings().classes());
    List<RequestClass> classes = new ArrayList<>(next.settings().classes());
    for (int i = 0; i < current.socketSettings().classes().size(); i++) {
      String name = current.socketSettings().classes().get(i);
      RequestClass currentClass = current.settings().classes().get(i);
      int index = names.indexOf(name);
      if (index < 0) {
        names.add(name);
        classes.add(currentClass);
      } else {
        classes.set(index, stricter(currentClass, classes.get(index)));
      }
    }
    Settings settings = next.settings();
    return new NamedSettings(
        new Settings(settings.seed(), settings.siblings(), settings.zone(), settings.listPushed(),
            settings.weightSource(), settings.originKind(), settings.overShareWorth(), settings.limits(),
            settings.rules(), settings.prices(), List.copyOf(classes), settings.tenants()),
        new SocketSettings(List.copyOf(names), next.socketSettings().tenants(), next.socketSettings().zones(),
            next.socketSettings().kinds(), next.socketSettings().peerIdleTimeoutMs(),
            next.socketSettings().loadColumns()));
  }

  private static RequestClass stricter(RequestClass current, RequestClass next) {
    Idempotency idempotency = stricter(current.idempotency(), next.idempotency());
    DedupGroup group = next.group();
    double window = next.dedupWindow();
    if (idempotency == Idempotency.KEYED && current.idempotency() == Idempotency.KEYED) {
      boolean both = next.idempotency() == Idempotency.KEYED;
      group = both ? stricter(current.group(), next.group()) : current.group();
      window = both ? Math.min(current.dedupWindow(), next.dedupWindow()) : current.dedupWindow();
    }
    return new RequestClass(idempotency, group, window, next.aim(), next.deadline(), next.worth(),
        next.lateWorth());
  }

  /** The stricter of two values of an enum whose values are in order from the least strict. */
  private static <E extends Enum<E>> E stricter(E one, E other) {
    return one.compareTo(other) >= 0 ? one : other;
  }

  /** The event that informs the decision module of a change of settings. */
  public static SettingsChanged change(NamedSettings current, NamedSettings next) {
    return new SettingsChanged(next.settings(),
        currentIndexes(next.socketSettings().classes(), current.socketSettings().classes()),
        currentIndexes(next.socketSettings().tenants(), current.socketSettings().tenants()));
  }

  /** For each of the next names its index among the current names, or -1. */
  private static List<Integer> currentIndexes(List<String> names, List<String> current) {
    return names.stream().map(current::indexOf).toList();
  }
}
