package beampoint.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.CategorySeries.CategorySeriesRenderStyle;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;

/** Draws a chart for each figure, with the mean and the 95% confidence interval of each variant. */
final class Charts {

  private static final int WIDTH = 640;
  private static final int HEIGHT = 400;

  private Charts() {}

  /** Writes an SVG file for each figure into a directory. */
  static void write(Plan plan, Results results, Path directory) throws IOException {
    System.setProperty("java.awt.headless", "true");
    for (String figure : plan.figures()) {
      List<String> names = new ArrayList<>();
      List<Double> means = new ArrayList<>();
      List<Double> halfWidths = new ArrayList<>();
      for (Plan.Variant variant : plan.variants()) {
        ConfidenceInterval interval = ConfidenceInterval.of(results.values(variant, figure));
        names.add(variant.name());
        means.add(interval.mean());
        halfWidths.add(interval.halfWidth());
      }
      CategoryChart chart = new CategoryChartBuilder().width(WIDTH).height(HEIGHT).title(figure)
          .yAxisTitle("mean and 95% interval, " + results.completedSeeds() + " seeds").build();
      chart.getStyler().setLegendVisible(false);
      chart.getStyler().setDefaultSeriesRenderStyle(CategorySeriesRenderStyle.Scatter);
      chart.addSeries(figure, names, means, halfWidths);
      String file = directory.resolve(figure.replaceAll("[^\\w.-]", "_") + ".svg").toString();
      VectorGraphicsEncoder.saveVectorGraphic(chart, file, VectorGraphicsFormat.SVG);
    }
  }
}
