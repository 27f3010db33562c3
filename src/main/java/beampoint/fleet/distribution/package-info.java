/**
 * Carries committed changes from the control machines down a tree to every proxy, and what each has applied
 * back up. Pure state machines without a clock, input or output; {@code docs/fleet/distribution.md} has the
 * argument.
 */
package beampoint.fleet.distribution;
