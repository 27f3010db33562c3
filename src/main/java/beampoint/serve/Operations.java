package beampoint.serve;

import beampoint.Balancer.BanChanged;
import beampoint.Balancer.ColdShareChanged;
import beampoint.Balancer.Event;
import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.handover.Ban;
import beampoint.handover.BanFile;
import beampoint.handover.ProcessRegistry;
import beampoint.log.Log;
import beampoint.ops.AdminService;
import java.io.IOException;
import java.nio.file.Path;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.IntConsumer;
import java.util.function.Predicate;

/**
 * Carries out the calls of operators, and shares bans and the number of running processes with another
 * process of the same proxy while one replaces the other. Passes events to the decision module and decides
 * nothing itself. Confined to the decision thread.
 */
final class Operations implements AdminService {

  private static final Log LOG = Log.of("ops");

  /**
   * What this class uses of the proxy.
   *
   * @param isKnownNode whether a cache node is in the host list
   * @param isReady whether the proxy accepts clients and can decide requests
   * @param module takes the events for the decision module
   * @param processCount called with the new number of processes when it changes
   * @param clock Unix time in ms
   */
  record Dependencies(Predicate<String> isKnownNode, BooleanSupplier isReady, Consumer<Event> module,
      IntConsumer processCount, DoubleSupplier clock, Counters counters) {}

  private final Dependencies proxy;
  private final BanFile banFile;
  private ProcessRegistry processRegistry; // null if the directory can't be used
  private int processes = 1;

  Operations(Path directory, String name, int port, Dependencies proxy) {
    this.proxy = proxy;
    this.banFile = new BanFile(sharedFile(directory, name, port, ".bans.json"), name);
    try {
      processRegistry = new ProcessRegistry(sharedFile(directory, name, port, ".processes"));
    } catch (IOException e) {
      LOG.error("can't detect other processes of this proxy in " + directory + ": " + e.getMessage());
    }
  }

  /** The path of a file that the processes of a proxy share. */
  static Path sharedFile(Path directory, String name, int port, String suffix) {
    return directory
        .resolve("beampoint-" + name.replaceAll("[^A-Za-z0-9.-]", "_") + "-" + port + suffix);
  }

  /**
   * Applies the stored bans. Must be called before the first host list is applied; otherwise a banned node
   * would be used briefly.
   */
  void start() {
    banFile.refresh().forEach(this::apply);
    poll();
  }

  /** Applies the bans that another process has stored, and updates the number of processes. */
  void poll() {
    banFile.refresh().forEach(this::apply);
    try {
      int count = processRegistry == null ? 1 : processRegistry.count();
      if (count != processes) {
        LOG.info("processes of this proxy: " + count + ", before: " + processes);
        processes = count;
        proxy.processCount().accept(count);
        proxy.module().accept(new ColdShareChanged(1.0 / count));
      }
    } catch (IOException e) {
      LOG.error("can't count the processes of this proxy: " + e.getMessage());
    }
  }

  /** True while a node is banned by operators. */
  boolean isBanned(String node) {
    Ban ban = banFile.get(node);
    return ban != null && ban.isActive();
  }

  /** How many processes of this proxy there are, this one included. */
  int processes() {
    return processes;
  }

  /**
   * Passes a ban to the module; a lifted one as its begin and its end, so that the module knows both times.
   */
  private void apply(Ban ban) {
    proxy.module().accept(new BanChanged(ban.node(), true, ban.since()));
    if (!ban.isActive()) {
      proxy.module().accept(new BanChanged(ban.node(), false, ban.until()));
    }
  }

  @Override
  public boolean isReady() {
    return proxy.isReady().getAsBoolean();
  }

  @Override
  public Outcome detach(String node) {
    return change(node, true);
  }

  @Override
  public Outcome attach(String node) {
    return change(node, false);
  }

  /** Applies a change, then stores it, then answers: the call takes effect even if its answer is lost. */
  private Outcome change(String node, boolean banned) {
    if (!proxy.isKnownNode().test(node) && banFile.get(node) == null) {
      return Outcome.UNKNOWN;
    }
    if (!banFile.setBanned(node, banned, proxy.clock().getAsDouble())) {
      return Outcome.TOO_MANY;
    }
    Ban ban = banFile.get(node);
    if (ban != null) {
      apply(ban);
    }
    proxy.counters().add(banned ? Counter.NODES_OUT : Counter.NODES_BACK);
    LOG.info(node + (banned ? " is detached" : " is attached again"));
    try {
      banFile.store().forEach(this::apply);
      return Outcome.DONE;
    } catch (IOException e) {
      LOG.error("the ban file can't be written: " + e.getMessage());
      return Outcome.NOT_STORED;
    }
  }

  void close() {
    try {
      banFile.close();
      if (processRegistry != null) {
        processRegistry.close();
      }
    } catch (IOException e) {
      LOG.error("can't close the files shared with other processes: " + e.getMessage());
    }
  }
}
