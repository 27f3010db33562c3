package beampoint.settings;

import beampoint.Balancer.DedupGroup;
import beampoint.Balancer.Idempotency;
import beampoint.Balancer.RequestClass;
import beampoint.Balancer.Settings;
import beampoint.Balancer.SettingsChanged;
import java.util.ArrayList;
import java.util.List;

/** From one set of settings to the next while requests of both kinds are on their way; no I/O. */
public final class Transition {

  private Transition() {}

  /** Settings with the names that stand for their numbers. */
  public record NamedSettings(Settings settings, SocketSettings names) {}

  /** The next terms, but for what holds from a start on: how hosts are numbered and the list is followed. */
  public static NamedSettings keepStartupSettings(NamedSettings present, NamedSettings next) {
    Settings old = present.settings();
    Settings now = next.settings();
    return new NamedSettings(
        new Settings(old.seed(), now.siblings(), old.zone(), old.listPushed(), old.weightSource(),
            old.originKind(), now.overShareWorth(), now.limits(), now.rules(), now.prices(), now.classes(),
            now.tenants()),
        new SocketSettings(next.names().classes(), next.names().tenants(), present.names().zones(),
            present.names().kinds(), next.names().connectionIdle(), next.names().loads()));
  }

  /**
   * What holds while requests of both kinds come: dropped classes are still known, and one whose effect
   * changed has the stricter of both. Guards against requests refused though they were right when they were
   * sent, and against an effect that happens twice as the rules changed under way.
   */
  public static NamedSettings duringTransition(NamedSettings present, NamedSettings next) {
    List<String> names = new ArrayList<>(next.names().classes());
    List<RequestClass> classes = new ArrayList<>(next.settings().classes());
    for (int i = 0; i < present.names().classes().size(); i++) {
      String name = present.names().classes().get(i);
      RequestClass old = present.settings().classes().get(i);
      int at = names.indexOf(name);
      if (at < 0) {
        names.add(name);
        classes.add(old);
      } else {
        classes.set(at, stricter(old, classes.get(at)));
      }
    }
    Settings s = next.settings();
    return new NamedSettings(
        new Settings(s.seed(), s.siblings(), s.zone(), s.listPushed(), s.weightSource(), s.originKind(),
            s.overShareWorth(), s.limits(), s.rules(), s.prices(), List.copyOf(classes), s.tenants()),
        new SocketSettings(List.copyOf(names), next.names().tenants(), next.names().zones(),
            next.names().kinds(), next.names().connectionIdle(), next.names().loads()));
  }

  private static RequestClass stricter(RequestClass old, RequestClass next) {
    Idempotency effect = later(old.idempotency(), next.idempotency());
    DedupGroup group = next.group();
    double window = next.dedupWindow();
    if (effect == Idempotency.KEYED && old.idempotency() == Idempotency.KEYED) {
      boolean both = next.idempotency() == Idempotency.KEYED;
      group = both ? later(old.group(), next.group()) : old.group();
      window = both ? Math.min(old.dedupWindow(), next.dedupWindow()) : old.dedupWindow();
    }
    return new RequestClass(effect, group, window, next.aim(), next.deadline(), next.worth(),
        next.lateWorth());
  }

  /** Effects and groups are listed from the freest on. */
  private static <E extends Enum<E>> E later(E one, E other) {
    return one.compareTo(other) >= 0 ? one : other;
  }

  /** The event that takes the module from one set to the next. */
  public static SettingsChanged change(NamedSettings present, NamedSettings next) {
    return new SettingsChanged(next.settings(), places(next.names().classes(), present.names().classes()),
        places(next.names().tenants(), present.names().tenants()));
  }

  private static List<Integer> places(List<String> names, List<String> former) {
    return names.stream().map(former::indexOf).toList();
  }
}
