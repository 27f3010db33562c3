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
 * One mapping of a YAML file, whose fields are taken by name. What is wrong is told with file, line and
 * field, and a field that nobody takes is wrong as well: it would be a setting that has no effect.
 */
public final class Yaml {

  private static final Pattern PLACE = Pattern.compile("(\\w+)\\[(\\d{1,4})\\]");

  private final String file;
  private final String path; // of the mapping in the file, with a dot at its end; empty at the top
  private final MappingNode node;
  private final Set<String> taken = new HashSet<>();

  private Yaml(String file, String path, MappingNode node) {
    this.file = file;
    this.path = path;
    this.node = node;
  }

  /** Reads a file. */
  public static Yaml read(Path file) throws InputException {
    try {
      return read(file.toString(), Files.readString(file));
    } catch (IOException e) {
      throw new InputException(file + ": can't be read: " + e.getMessage());
    }
  }

  /** Reads a text that stands for a file of this name. */
  public static Yaml read(String file, String text) throws InputException {
    Optional<Node> top;
    try {
      top = new Compose(LoadSettings.builder().setUseMarks(true).setLabel(file).build()).composeString(text);
    } catch (YamlEngineException e) {
      throw new InputException(file + ": no YAML: " + e.getMessage().replaceAll("\\s+", " "));
    }
    if (top.isEmpty() || !(top.get() instanceof MappingNode mapping)) {
      throw new InputException(file + ": no mapping of fields to values");
    }
    Set<String> names = new HashSet<>();
    Yaml yaml = new Yaml(file, "", mapping);
    yaml.checkNames(mapping, names);
    return yaml;
  }

  /** The scalars of this mapping by name, all of them taken. */
  public Map<String, String> texts() throws InputException {
    Map<String, String> texts = new LinkedHashMap<>();
    for (NodeTuple entry : node.getValue()) {
      String name = ((ScalarNode) entry.getKeyNode()).getValue();
      texts.put(name, text(name, null));
    }
    return texts;
  }

  /**
   * Puts a value in place of another, or where none was; the path names fields and places in lists, as the
   * messages do: {@code classes[0].aim_ms}.
   */
  public void set(String at, String value) throws InputException {
    Yaml inner = this;
    String[] names = at.split("\\.");
    for (int i = 0; i < names.length - 1; i++) {
      inner = inner.step(names[i], at);
    }
    String last = names[names.length - 1];
    Node key = new ScalarNode(Tag.STR, last, ScalarStyle.PLAIN);
    Node set = new ScalarNode(Tag.STR, false, value, ScalarStyle.PLAIN, inner.node.getStartMark(),
        inner.node.getEndMark());
    List<NodeTuple> entries = new ArrayList<>(inner.node.getValue());
    entries.removeIf(e -> e.getKeyNode() instanceof ScalarNode name && name.getValue().equals(last));
    entries.add(new NodeTuple(key, set));
    inner.node.setValue(entries);
  }

  private Yaml step(String name, String at) throws InputException {
    Matcher place = PLACE.matcher(name);
    Node found = find(place.matches() ? place.group(1) : name);
    if (place.matches() && found instanceof SequenceNode list) {
      int index = Integer.parseInt(place.group(2));
      found = index < list.getValue().size() ? list.getValue().get(index) : null;
    }
    if (found == null && !place.matches()) {
      found = new MappingNode(Tag.MAP, true, new ArrayList<>(), FlowStyle.BLOCK, node.getStartMark(),
          node.getEndMark());
      node.getValue().add(new NodeTuple(new ScalarNode(Tag.STR, name, ScalarStyle.PLAIN), found));
    }
    if (!(found instanceof MappingNode mapping)) {
      throw invalid(node, name, "no place for '" + at + "'");
    }
    return new Yaml(file, path + name + ".", mapping);
  }

  private void checkNames(MappingNode mapping, Set<String> names) throws InputException {
    for (NodeTuple entry : mapping.getValue()) {
      if (!(entry.getKeyNode() instanceof ScalarNode name) || !names.add(name.getValue())) {
        throw invalid(entry.getKeyNode(), "", "a field's name that is no text, or stands twice");
      }
    }
  }

  private Node find(String field) {
    taken.add(field);
    for (NodeTuple entry : node.getValue()) {
      if (entry.getKeyNode() instanceof ScalarNode name && name.getValue().equals(field)) {
        return entry.getValueNode();
      }
    }
    return null;
  }

  private InputException invalid(Node at, String field, String what) {
    int line = at.getStartMark().map(Mark::getLine).orElse(0) + 1;
    return new InputException(file + ", line " + line + ", field '" + path + field + "': " + what);
  }

  /** What a caller finds wrong with a field's value. */
  public InputException invalid(String field, String what) {
    Node found = find(field);
    return invalid(found == null ? node : found, field, what);
  }

  /** A text; null as the usual one says that it must be there. */
  public String text(String field, String usual) throws InputException {
    Node found = find(field);
    if (found == null) {
      if (usual == null) {
        throw invalid(node, field, "missing");
      }
      return usual;
    }
    if (!(found instanceof ScalarNode scalar) || scalar.getValue().isEmpty()) {
      throw invalid(found, field, "no text");
    }
    return scalar.getValue();
  }

  /** A number of a range; NaN as the usual one says that it must be there. */
  public double number(String field, double usual, double least, double most) throws InputException {
    String text = text(field, Double.isNaN(usual) ? null : Double.toString(usual));
    double number;
    try {
      number = Double.parseDouble(text);
    } catch (NumberFormatException e) {
      throw invalid(field, "no number: '" + text + "'");
    }
    if (!(number >= least && number <= most)) {
      throw invalid(field, text + " is not from " + shown(least) + " to " + shown(most));
    }
    return number;
  }

  private static String shown(double number) {
    return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
  }

  /** As {@link #number}, without a fraction. */
  public int whole(String field, double usual, int least, int most) throws InputException {
    double number = number(field, usual, least, most);
    if (number != Math.rint(number)) {
      throw invalid(field, "no whole number: " + number);
    }
    return (int) number;
  }

  /** True or false. */
  public boolean flag(String field, boolean usual) throws InputException {
    String text = text(field, Boolean.toString(usual));
    if (!text.equals("true") && !text.equals("false")) {
      throw invalid(field, "neither true nor false: '" + text + "'");
    }
    return text.equals("true");
  }

  /** One of some words. */
  public <E extends Enum<E>> E enumValue(String field, E usual, Class<E> words) throws InputException {
    String text = text(field, usual == null ? null : usual.name().toLowerCase(Locale.ROOT));
    for (E word : words.getEnumConstants()) {
      if (word.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(text.replace('_', '-'))) {
        return word;
      }
    }
    List<String> all = new ArrayList<>();
    for (E word : words.getEnumConstants()) {
      all.add(word.name().toLowerCase(Locale.ROOT).replace('_', '-'));
    }
    throw invalid(field, "'" + text + "' is none of " + String.join(", ", all));
  }

  /** A mapping below this one; one without fields where it is missing. */
  public Yaml fields(String field) throws InputException {
    Node found = find(field);
    if (found == null) {
      MappingNode none = new MappingNode(node.getTag(), List.of(), node.getFlowStyle());
      return new Yaml(file, path + field + ".", none);
    }
    return mapping(found, field);
  }

  private Yaml mapping(Node found, String field) throws InputException {
    if (!(found instanceof MappingNode mapping)) {
      throw invalid(found, field, "no mapping of fields to values");
    }
    Yaml yaml = new Yaml(file, path + field + ".", mapping);
    yaml.checkNames(mapping, new HashSet<>());
    return yaml;
  }

  /** The mappings of a list, of which there are so many at the least. */
  public List<Yaml> list(String field, int least) throws InputException {
    Node found = find(field);
    List<Yaml> entries = new ArrayList<>();
    if (found instanceof SequenceNode sequence) {
      for (Node entry : sequence.getValue()) {
        entries.add(mapping(entry, field + "[" + entries.size() + "]"));
      }
    } else if (found != null) {
      throw invalid(found, field, "no list");
    }
    if (entries.size() < least) {
      throw invalid(field, "fewer than " + least + " entries");
    }
    return entries;
  }

  /** Guards against a field whose name is wrong, which would have no effect. */
  public void rejectUnknownFields() throws InputException {
    for (NodeTuple entry : node.getValue()) {
      String name = ((ScalarNode) entry.getKeyNode()).getValue();
      if (!taken.contains(name)) {
        throw invalid(entry.getKeyNode(), name, "unknown");
      }
    }
  }
}
