package beampoint.fleet.changes;

/** What is to be done at every proxy. */
public sealed interface Change permits ConfigurationChange, PurgeChange {

  /** The version of the change's form, so that a proxy knows what it can't read. */
  int formatVersion();

  /** About how many bytes its content takes. */
  int weight();
}
