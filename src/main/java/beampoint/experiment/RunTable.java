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

/** All figures of all runs as CSV, a row a run, written as the runs end. */
final class RunTable implements Closeable {

  private final CSVPrinter out;
  private final List<String> names;

  RunTable(Path file, Plan plan) throws IOException {
    TreeSet<String> all = new TreeSet<>();
    plan.variants().forEach(variant -> all.addAll(Report.names(variant.scenario())));
    names = List.copyOf(all);
    List<String> header = new ArrayList<>(List.of("variant", "seed"));
    header.addAll(names);
    out = new CSVPrinter(Files.newBufferedWriter(file, StandardCharsets.UTF_8),
        CSVFormat.RFC4180.builder().setHeader(header.toArray(String[]::new)).get());
  }

  void add(Plan.Variant variant, long seed, Report report) throws IOException {
    List<Object> row = new ArrayList<>(List.of(variant.name(), seed));
    var figures = report.figures();
    names.forEach(name -> row.add(figures.getOrDefault(name, Double.NaN)));
    out.printRecord(row);
    out.flush();
  }

  @Override
  public void close() throws IOException {
    out.close();
  }
}
