package beampoint;

import beampoint.Balancer.Endpoint;
import beampoint.Balancer.RequestClass;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** What a balancer keeps in mind between events: plain records of fact that decide nothing. */
final class State {

  private State() {}

  static double average(double mean, double value, double gain) {
    return mean + gain * (value - mean);
  }

  /** An endpoint and what this balancer's own traffic has shown of it. */
  static final class Node {
    Endpoint entry;
    boolean origin;
    double weight;
    double startedAt;
    final ArrayDeque<Attempt> flights = new ArrayDeque<>();
    int inFlight;
    double time;
    double depth = 1;
    double observedAt;
    double learnedAt;
    double errors;
    int failures;
    double pausedUntil;
    final ArrayDeque<Double> sends = new ArrayDeque<>();

    /** A running cache; one that drains or is gone takes nothing new. */
    boolean isCache() {
      return !origin && entry.state() == Balancer.EndpointState.RUNNING;
    }

    /** How long the oldest attempt has been out. */
    double oldest(double now) {
      while (!flights.isEmpty() && flights.peekFirst().over) {
        flights.pollFirst();
      }
      return flights.isEmpty() ? 0 : now - flights.peekFirst().sentAt;
    }

    int sentSince(double time) {
      while (!sends.isEmpty() && sends.peekFirst() < time) {
        sends.pollFirst();
      }
      return sends.size();
    }
  }

  /** An attempt that is out, or was. */
  static final class Attempt {
    Node node;
    double sentAt;
    int depth;
    int typeIndex;
    /** The outcome is known. */
    boolean over;
  }

  /** A request that owes its final answer. */
  static final class Request {
    long id;
    int typeIndex;
    RequestClass type;
    double aimAt;
    double deadline;
    long key;
    boolean write;
    boolean overShare;
    int bucket;
    int attempts;
    Attempt current;
    boolean fetching;
    Node mayHaveRunAt;
    double mayHaveRunSince;
    final List<Node> tried = new ArrayList<>();
  }

  /** A tenant's recent rate, and what is left of its share. */
  static final class Usage {
    double rate;
    double at;
    double tokens = 1;

    /** The rate a second as a moving mean over the given time, after so many more requests. */
    double count(double now, double over, int more) {
      rate = rate * Math.exp((at - now) / over) + more * 1000 / over;
      at = now;
      return rate;
    }
  }
}
