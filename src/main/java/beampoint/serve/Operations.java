package beampoint.serve;

import beampoint.Balancer.BanChanged;
import beampoint.Balancer.Event;
import beampoint.Balancer.ShareChanged;
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
 * What operators call for, and what this process shares with another one of the same proxy while one replaces
 * the other. It tells the module and decides nothing. Belongs to the decision thread.
 */
final class Operations implements AdminService {

  private static final Log LOG = Log.of("ops");

  /** What it needs of the proxy. */
  record Parts(Predicate<String> knows, BooleanSupplier ready, Consumer<Event> module, IntConsumer share,
      DoubleSupplier clock, Counters counters) {}

  private final Parts proxy;
  private final BanFile file;
  private ProcessRegistry presence; // null where the directory can't be used
  private int processes = 1;

  Operations(Path directory, String name, int port, Parts proxy) {
    this.proxy = proxy;
    String base = "beampoint-" + name.replaceAll("[^A-Za-z0-9.-]", "_") + "-" + port;
    this.file = new BanFile(directory.resolve(base + ".bans.json"), name);
    try {
      presence = new ProcessRegistry(directory.resolve(base + ".processes"));
    } catch (IOException e) {
      LOG.error("can't tell another process of this proxy by " + directory + ": " + e.getMessage());
    }
  }

  /** The bans stand before the list comes, or a node that is out would be used for a moment. */
  void start() {
    file.refresh().forEach(this::tell);
    poll();
  }

  /** Takes over what the other process has stored, and whether there is one. */
  void poll() {
    file.refresh().forEach(this::tell);
    try {
      int count = presence == null ? 1 : presence.count();
      if (count != processes) {
        LOG.info("processes of this proxy: " + count + ", before: " + processes);
        processes = count;
        proxy.share().accept(count);
        proxy.module().accept(new ShareChanged(1.0 / count));
      }
    } catch (IOException e) {
      LOG.error("can't look for another process: " + e.getMessage());
    }
  }

  /** True while a node is taken out. */
  boolean isOut(String node) {
    Ban ban = file.get(node);
    return ban != null && ban.isOut();
  }

  int processes() {
    return processes;
  }

  private void tell(Ban ban) {
    proxy.module().accept(new BanChanged(ban.node(), true, ban.since()));
    if (!ban.isOut()) {
      proxy.module().accept(new BanChanged(ban.node(), false, ban.until()));
    }
  }

  @Override
  public boolean isReady() {
    return proxy.ready().getAsBoolean();
  }

  @Override
  public Outcome detach(String node) {
    return change(node, true);
  }

  @Override
  public Outcome attach(String node) {
    return change(node, false);
  }

  /** In force first, then stored, then answered: the call binds though its answer may never arrive. */
  private Outcome change(String node, boolean out) {
    if (!proxy.knows().test(node) && file.get(node) == null) {
      return Outcome.UNKNOWN;
    }
    if (!file.setBanned(node, out, proxy.clock().getAsDouble())) {
      return Outcome.TOO_MANY;
    }
    Ban ban = file.get(node);
    if (ban != null) {
      tell(ban);
    }
    proxy.counters().add(out ? Counter.NODES_OUT : Counter.NODES_BACK);
    LOG.info(node + (out ? " is taken out" : " is used again"));
    try {
      file.store().forEach(this::tell);
      return Outcome.DONE;
    } catch (IOException e) {
      LOG.error("the ban file can't be written: " + e.getMessage());
      return Outcome.NOT_STORED;
    }
  }

  void close() {
    try {
      file.close();
      if (presence != null) {
        presence.close();
      }
    } catch (IOException e) {
      LOG.error("can't close what is shared: " + e.getMessage());
    }
  }
}
