package beampoint.soak;

import beampoint.soak.Request.Kind;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** All requests of a run by id. */
final class RequestRegistry {

  private final Map<String, Request> requests = new ConcurrentHashMap<>();
  private final AtomicLong lastId = new AtomicLong(0x1000);

  Request create(Kind kind, double deadlineMs) {
    Request request = new Request(Long.toHexString(lastId.incrementAndGet()), kind, deadlineMs);
    requests.put(request.id, request);
    return request;
  }

  /** The request with this id, or null if no client has sent it. */
  Request get(String id) {
    return requests.get(id);
  }

  Collection<Request> all() {
    return requests.values();
  }

  /** A numeric parameter of a comma-separated list of {@code name=value}; NaN if it is missing. */
  static double parameter(String parameters, String name) {
    for (String pair : parameters.split(",")) {
      if (pair.startsWith(name + "=")) {
        return Double.parseDouble(pair.substring(name.length() + 1));
      }
    }
    return Double.NaN;
  }
}
