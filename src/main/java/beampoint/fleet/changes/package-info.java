/**
 * The replicated change log: control machines agree on one order of purges and configuration changes. Pure
 * state machines without a clock, input or output; {@code docs/fleet/changes.md} has the argument.
 */
package beampoint.fleet.changes;
