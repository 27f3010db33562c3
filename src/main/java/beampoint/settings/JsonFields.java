package beampoint.settings;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.HashMap;
import java.util.Map;

/**
 * The fields of nested JSON under flat field names, which the simulator also uses: {@code lanes.0.name} for a
 * member of a list entry, {@code lanes.count} for the length of a list.
 */
public final class JsonFields extends Fields {

  private final String source;
  private final Map<String, String> values = new HashMap<>();

  /** Takes the fields of an object; {@code source} names it in error messages. */
  public JsonFields(String source, JsonObject object) {
    this.source = source;
    add("", object);
  }

  private void add(String path, JsonElement element) {
    if (element.isJsonObject()) {
      for (Map.Entry<String, JsonElement> member : element.getAsJsonObject().entrySet()) {
        add(path.isEmpty() ? member.getKey() : path + "." + member.getKey(), member.getValue());
      }
    } else if (element.isJsonArray()) {
      JsonArray array = element.getAsJsonArray();
      values.put(path + ".count", Integer.toString(array.size()));
      for (int i = 0; i < array.size(); i++) {
        add(path + "." + i, array.get(i));
      }
    } else if (!element.isJsonNull()) {
      values.put(path, element.getAsString());
    }
  }

  /** Sets a field by its flat name; replaces a value that it has already. */
  public void put(String field, String value) {
    values.put(field, value);
  }

  @Override
  protected String find(String field) {
    return values.get(field);
  }

  @Override
  public InputException invalid(String field, String problem) {
    return new InputException(source + ", field '" + field + "': " + problem);
  }
}
