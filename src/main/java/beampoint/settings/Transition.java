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
   * The next settings with those of the present ones that take effect at a start only: how hosts are numbered
   * and how the host list is followed.
   */
  public static NamedSettings keepStartupSettings(NamedSettings present, NamedSettings next) {
    Settings old = present.settings();
    Settings updated = next.settings();
    return new NamedSettings(
        new Settings(old.seed(), updated.siblings(), old.zone(), old.listPushed(), old.weightSource(),
            old.originKind(), updated.overShareWorth(), updated.limits(), updated.rules(), updated.prices(),
            updated.classes(), updated.tenants()),
        new SocketSettings(next.socketSettings().classes(), next.socketSettings().tenants(),
            present.socketSettings().zones(),
            present.socketSettings().kinds(), next.socketSettings().peerIdleTimeoutMs(),
            next.socketSettings().loadColumns()));
  }

  /**
   * The settings in force while requests under both sets arrive. Classes that the next settings drop are
   * kept, so that a request is not refused that was valid when it was sent. A class whose idempotency changes
   * gets the stricter of both, so that no request takes effect twice because its rules changed in flight.
   */
  public static NamedSettings duringTransition(NamedSettings present, NamedSettings next) {
    List<String> names = new ArrayList<>(next.socketSettings().classes());
    List<RequestClass> classes = new ArrayList<>(next.settings().classes());
    for (int i = 0; i < present.socketSettings().classes().size(); i++) {
      String name = present.socketSettings().classes().get(i);
      RequestClass old = present.settings().classes().get(i);
      int index = names.indexOf(name);
      if (index < 0) {
        names.add(name);
        classes.add(old);
      } else {
        classes.set(index, stricter(old, classes.get(index)));
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

  private static RequestClass stricter(RequestClass old, RequestClass next) {
    Idempotency idempotency = stricter(old.idempotency(), next.idempotency());
    DedupGroup group = next.group();
    double window = next.dedupWindow();
    if (idempotency == Idempotency.KEYED && old.idempotency() == Idempotency.KEYED) {
      boolean both = next.idempotency() == Idempotency.KEYED;
      group = both ? stricter(old.group(), next.group()) : old.group();
      window = both ? Math.min(old.dedupWindow(), next.dedupWindow()) : old.dedupWindow();
    }
    return new RequestClass(idempotency, group, window, next.aim(), next.deadline(), next.worth(),
        next.lateWorth());
  }

  /** The stricter of two values of an enum whose values are in order from the least strict. */
  private static <E extends Enum<E>> E stricter(E one, E other) {
    return one.compareTo(other) >= 0 ? one : other;
  }

  /** The event that informs the decision module of a change of settings. */
  public static SettingsChanged change(NamedSettings present, NamedSettings next) {
    return new SettingsChanged(next.settings(),
        formerIndexes(next.socketSettings().classes(), present.socketSettings().classes()),
        formerIndexes(next.socketSettings().tenants(), present.socketSettings().tenants()));
  }

  /** For each name its index among the former names, or -1. */
  private static List<Integer> formerIndexes(List<String> names, List<String> former) {
    return names.stream().map(former::indexOf).toList();
  }
}
