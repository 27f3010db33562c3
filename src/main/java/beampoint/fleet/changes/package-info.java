/**
 * The replicated change log, through which the control machines agree on one order of purges and
 * configuration changes. It consists of pure state machines without a clock, input or output;
 * {@code docs/fleet/changes.md} contains the argument for its correctness.
 */
package beampoint.fleet.changes;
