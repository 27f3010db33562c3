/**
 * Distributes committed changes from the control machines down a tree to every proxy, and reports what each
 * proxy has applied back up the tree. Pure state machines without a clock or I/O; the design and its
 * correctness argument are in {@code docs/fleet/distribution.md}.
 */
package beampoint.fleet.distribution;
