/**
 * A soak test of real {@code serve} processes on loopback with scripted peers, misbehaving clients, signals
 * and restarts. A seed determines the whole plan of a run; {@link beampoint.soak.SoakMain} runs them.
 */
package beampoint.soak;
