package beampoint.fleet.changes;

/** A change that every proxy has to apply. */
public sealed interface Change permits ConfigurationChange, PurgeChange {

  /** The version of the change's format, by which a proxy recognizes a change that it can't read. */
  int formatVersion();

  /** The approximate size of its content in bytes. */
  int contentBytes();
}
