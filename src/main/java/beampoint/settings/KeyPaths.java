package beampoint.settings;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The paths of all keys of a configuration, at any depth, such as {@code a.b}. For a list, only the paths
 * that all its entries have are included, such as {@code list.*.x}. Keys with a null value are left out.
 */
public final class KeyPaths {

  private KeyPaths() {}

  /** Returns the sorted paths of the keys of an object. */
  public static Set<String> of(JsonObject object) {
    Set<String> keys = new TreeSet<>();
    add(keys, "", object);
    return keys;
  }

  private static void add(Set<String> keys, String path, JsonElement element) {
    if (element.isJsonObject()) {
      for (Map.Entry<String, JsonElement> member : element.getAsJsonObject().entrySet()) {
        if (!member.getValue().isJsonNull()) {
          String key = path.isEmpty() ? member.getKey() : path + "." + member.getKey();
          keys.add(key);
          add(keys, key, member.getValue());
        }
      }
    } else if (element.isJsonArray()) {
      Set<String> common = null;
      for (JsonElement entry : element.getAsJsonArray()) {
        Set<String> own = new TreeSet<>();
        add(own, path + ".*", entry);
        if (common == null) {
          common = own;
        } else {
          common.retainAll(own);
        }
      }
      keys.addAll(common == null ? Set.of() : common);
    }
  }
}
