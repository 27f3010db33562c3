package beampoint.experiment;

import beampoint.emulator.Report;
import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/** A CSV file with all figures of each run, written as the runs end. */
final class RunTable implements Closeable {

  private final CSVPrinter out;
  private final List<String> names;

  RunTable(Path file, Plan plan) throws IOException {
    TreeSet<String> figures = new TreeSet<>();
    plan.variants().forEach(variant -> figures.addAll(Report.names(variant.scenario())));
    names = List.copyOf(figures);
    List<String> header = new ArrayList<>(List.of("variant", "seed"));
    header.addAll(names);
    out = new CSVPrinter(Files.newBufferedWriter(file, StandardCharsets.UTF_8),
        CSVFormat.RFC4180.builder().setHeader(header.toArray(String[]::new)).get());
  }

  void add(Plan.Variant variant, long seed, Report report) throws IOException {
    List<Object> row = new ArrayList<>(List.of(variant.name(), seed));
    var values = report.figures();
    names.forEach(name -> row.add(values.getOrDefault(name, Double.NaN)));
    out.printRecord(row);
    out.flush();
  }

  @Override
  public void close() throws IOException {
    out.close();
  }
}
