package beampoint.settings;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Which keys a configuration has, at any depth; of the entries of a list, those that all have. */
public final class KeyPaths {

  private KeyPaths() {}

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
