package beampoint.fleet.changes;

/** What a purge names: one key, all keys that begin with a text, or all keys of a tenant. */
public enum PurgeScope {
  KEY, PREFIX, TENANT
}
