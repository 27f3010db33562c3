package beampoint.fleet.changes;

/** The keys that a purge covers: one key, all keys with a prefix, or all keys of a tenant. */
public enum PurgeScope {
  KEY, PREFIX, TENANT
}
