package beampoint.yaml;

import beampoint.settings.InputException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Compose;
import org.snakeyaml.engine.v2.common.FlowStyle;
import org.snakeyaml.engine.v2.common.ScalarStyle;
import org.snakeyaml.engine.v2.exceptions.Mark;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;
import org.snakeyaml.engine.v2.nodes.Tag;

/**
 * One mapping of a YAML file, whose fields are read by name. Errors state the file, line and field. A field
 * that is never read is an error as well, see {@link #rejectUnknownFields}: it would have no effect.
 */
public final class YamlMapping {

  private static final Pattern LIST_ENTRY = Pattern.compile("(\\w+)\\[(\\d{1,4})\\]");

  private final String file;
  private final String path; // of the mapping in the file, with a dot at the end; empty for the top mapping
  private final MappingNode node;
  private final Set<String> fieldsRead = new HashSet<>();

  private YamlMapping(String file, String path, MappingNode node) {
    this.file = file;
    this.path = path;
    this.node = node;
  }

  /** Reads the top mapping of a file. */
  public static YamlMapping read(Path file) throws InputException {
    try {
      return read(file.toString(), Files.readString(file));
    } catch (IOException e) {
      throw new InputException(file + ": can't be read: " + e.getMessage());
    }
  }

  /** Reads the top mapping of a text; error messages state {@code file} as its source. */
  public static YamlMapping read(String file, String text) throws InputException {
    Optional<Node> top;
    try {
      top = new Compose(LoadSettings.builder().setUseMarks(true).setLabel(file).build()).composeString(text);
    } catch (YamlEngineException e) {
      throw new InputException(file + ": not valid YAML: " + e.getMessage().replaceAll("\\s+", " "));
    }
    if (top.isEmpty() || !(top.get() instanceof MappingNode mapping)) {
      throw new InputException(file + ": not a mapping of fields to values");
    }
    Set<String> names = new HashSet<>();
    YamlMapping yaml = new YamlMapping(file, "", mapping);
    yaml.checkNames(mapping, names);
    return yaml;
  }

  /** Reads all fields of this mapping, which must be scalars, as texts by name. */
  public Map<String, String> texts() throws InputException {
    Map<String, String> texts = new LinkedHashMap<>();
    for (NodeTuple entry : node.getValue()) {
      String name = ((ScalarNode) entry.getKeyNode()).getValue();
      texts.put(name, text(name, null));
    }
    return texts;
  }

  /**
   * Sets a field, which may exist already; mappings of the path that do not exist are added. The path
   * consists of fields and list entries, as in error messages: {@code classes[0].aim_ms}.
   */
  public void set(String fieldPath, String value) throws InputException {
    YamlMapping inner = this;
    String[] names = fieldPath.split("\\.");
    for (int i = 0; i < names.length - 1; i++) {
      inner = inner.descend(names[i], fieldPath);
    }
    String last = names[names.length - 1];
    Node key = new ScalarNode(Tag.STR, last, ScalarStyle.PLAIN);
    Node scalar = new ScalarNode(Tag.STR, false, value, ScalarStyle.PLAIN, inner.node.getStartMark(),
        inner.node.getEndMark());
    List<NodeTuple> entries = new ArrayList<>(inner.node.getValue());
    entries.removeIf(e -> e.getKeyNode() instanceof ScalarNode name && name.getValue().equals(last));
    entries.add(new NodeTuple(key, scalar));
    inner.node.setValue(entries);
  }

  /** The mapping that one part of a field path leads to. */
  private YamlMapping descend(String name, String fieldPath) throws InputException {
    Matcher listEntry = LIST_ENTRY.matcher(name);
    Node found = find(listEntry.matches() ? listEntry.group(1) : name);
    if (listEntry.matches() && found instanceof SequenceNode list) {
      int index = Integer.parseInt(listEntry.group(2));
      found = index < list.getValue().size() ? list.getValue().get(index) : null;
    }
    if (found == null && !listEntry.matches()) {
      found = new MappingNode(Tag.MAP, true, new ArrayList<>(), FlowStyle.BLOCK, node.getStartMark(),
          node.getEndMark());
      node.getValue().add(new NodeTuple(new ScalarNode(Tag.STR, name, ScalarStyle.PLAIN), found));
    }
    if (!(found instanceof MappingNode mapping)) {
      throw invalid(node, name, "can't set '" + fieldPath + "': no such mapping");
    }
    return new YamlMapping(file, path + name + ".", mapping);
  }

  private void checkNames(MappingNode mapping, Set<String> names) throws InputException {
    for (NodeTuple entry : mapping.getValue()) {
      if (!(entry.getKeyNode() instanceof ScalarNode name) || !names.add(name.getValue())) {
        throw invalid(entry.getKeyNode(), "", "a field name that is not a text, or is duplicated");
      }
    }
  }

  private Node find(String field) {
    fieldsRead.add(field);
    for (NodeTuple entry : node.getValue()) {
      if (entry.getKeyNode() instanceof ScalarNode name && name.getValue().equals(field)) {
        return entry.getValueNode();
      }
    }
    return null;
  }

  private InputException invalid(Node position, String field, String problem) {
    int line = position.getStartMark().map(Mark::getLine).orElse(0) + 1;
    return new InputException(file + ", line " + line + ", field '" + path + field + "': " + problem);
  }

  /** Makes an error that states the file, line and field, and what is wrong with the value of the field. */
  public InputException invalid(String field, String problem) {
    Node found = find(field);
    return invalid(found == null ? node : found, field, problem);
  }

  /** Reads a text that is not empty. A field whose default is null must be present. */
  public String text(String field, String defaultValue) throws InputException {
    Node found = find(field);
    if (found == null) {
      if (defaultValue == null) {
        throw invalid(node, field, "missing");
      }
      return defaultValue;
    }
    if (!(found instanceof ScalarNode scalar) || scalar.getValue().isEmpty()) {
      throw invalid(found, field, "not a text, or empty");
    }
    return scalar.getValue();
  }

  /** Reads a number within a range, limits included. A field whose default is NaN must be present. */
  public double number(String field, double defaultValue, double min, double max) throws InputException {
    String text = text(field, Double.isNaN(defaultValue) ? null : Double.toString(defaultValue));
    double number;
    try {
      number = Double.parseDouble(text);
    } catch (NumberFormatException e) {
      throw invalid(field, "not a number: '" + text + "'");
    }
    if (!(number >= min && number <= max)) {
      throw invalid(field, text + " is not from " + format(min) + " to " + format(max));
    }
    return number;
  }

  private static String format(double number) {
    return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
  }

  /** Reads a whole number within a range, as {@link #number} does. */
  public int wholeNumber(String field, double defaultValue, int min, int max) throws InputException {
    double number = number(field, defaultValue, min, max);
    if (number != Math.rint(number)) {
      throw invalid(field, "not a whole number: " + number);
    }
    return (int) number;
  }

  /** Reads true or false. */
  public boolean flag(String field, boolean defaultValue) throws InputException {
    String text = text(field, Boolean.toString(defaultValue));
    if (!text.equals("true") && !text.equals("false")) {
      throw invalid(field, "neither true nor false: '" + text + "'");
    }
    return text.equals("true");
  }

  /**
   * Reads a value of an enum, written in lower case with hyphens or underscores. A field whose default is
   * null must be present.
   */
  public <E extends Enum<E>> E enumValue(String field, E defaultValue, Class<E> type) throws InputException {
    String text = text(field, defaultValue == null ? null : defaultValue.name().toLowerCase(Locale.ROOT));
    for (E value : type.getEnumConstants()) {
      if (value.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(text.replace('_', '-'))) {
        return value;
      }
    }
    List<String> allowed = new ArrayList<>();
    for (E value : type.getEnumConstants()) {
      allowed.add(value.name().toLowerCase(Locale.ROOT).replace('_', '-'));
    }
    throw invalid(field, "'" + text + "' is not one of " + String.join(", ", allowed));
  }

  /** Reads a mapping below this one; returns an empty one if the field is missing. */
  public YamlMapping mapping(String field) throws InputException {
    Node found = find(field);
    if (found == null) {
      MappingNode empty = new MappingNode(node.getTag(), List.of(), node.getFlowStyle());
      return new YamlMapping(file, path + field + ".", empty);
    }
    return mapping(found, field);
  }

  private YamlMapping mapping(Node found, String field) throws InputException {
    if (!(found instanceof MappingNode mapping)) {
      throw invalid(found, field, "not a mapping of fields to values");
    }
    YamlMapping yaml = new YamlMapping(file, path + field + ".", mapping);
    yaml.checkNames(mapping, new HashSet<>());
    return yaml;
  }

  /** Reads a list of mappings, which has at least {@code min} entries; a missing list is empty. */
  public List<YamlMapping> list(String field, int min) throws InputException {
    Node found = find(field);
    List<YamlMapping> entries = new ArrayList<>();
    if (found instanceof SequenceNode sequence) {
      for (Node entry : sequence.getValue()) {
        entries.add(mapping(entry, field + "[" + entries.size() + "]"));
      }
    } else if (found != null) {
      throw invalid(found, field, "not a list");
    }
    if (entries.size() < min) {
      throw invalid(field, "fewer than " + min + " entries");
    }
    return entries;
  }

  /** Throws if the mapping has a field that was never read, for example because its name is misspelled. */
  public void rejectUnknownFields() throws InputException {
    for (NodeTuple entry : node.getValue()) {
      String name = ((ScalarNode) entry.getKeyNode()).getValue();
      if (!fieldsRead.contains(name)) {
        throw invalid(entry.getKeyNode(), name, "unknown");
      }
    }
  }
}
