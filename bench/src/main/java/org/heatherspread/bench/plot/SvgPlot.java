package org.heatherspread.bench.plot;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Renders a line or bar plot as an SVG document. Not thread-safe. */
public final class SvgPlot {
  private static final int WIDTH = 640;
  private static final int HEIGHT = 360;
  private static final int LEFT_MARGIN = 70;
  private static final int RIGHT_MARGIN = 170;
  private static final int TOP_MARGIN = 40;
  private static final int BOTTOM_MARGIN = 50;
  private static final int TICK_COUNT = 5;
  private static final String[] COLORS = {
    "#1b6ca8", "#c8553d", "#3a7d44", "#8e5aa8", "#b8860b", "#555555", "#1aa6a6"
  };

  /** A line of a plot; both arrays have one value for each point. */
  @SuppressWarnings("ArrayRecordComponent")
  private record Series(String name, double[] xs, double[] ys) {}

  private final String title;
  private final String labelX;
  private final String labelY;
  private final List<Series> series = new ArrayList<>();
  private final List<String> barNames = new ArrayList<>();
  private final List<Double> barValues = new ArrayList<>();

  private SvgPlot(String title, String labelX, String labelY) {
    this.title = title;
    this.labelX = labelX;
    this.labelY = labelY;
  }

  /** Creates an empty plot with a title and axis labels. */
  public static SvgPlot create(String title, String labelX, String labelY) {
    return new SvgPlot(title, labelX, labelY);
  }

  /** Adds a line through the given points; both arrays must have the same length. */
  public SvgPlot addLine(String name, double[] xs, double[] ys) {
    series.add(new Series(name, xs, ys));
    return this;
  }

  /** Adds a bar. A plot with bars renders no lines. */
  public SvgPlot addBar(String name, double value) {
    barNames.add(name);
    barValues.add(value);
    return this;
  }

  /** Returns the SVG document. */
  public String render() {
    StringBuilder svg = new StringBuilder();
    svg.append(
        String.format(
            Locale.ROOT,
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
                + " font-family=\"sans-serif\" font-size=\"12\">%n",
            WIDTH,
            HEIGHT));
    svg.append("<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n");
    renderText(svg, WIDTH / 2.0, 20, "middle", title);
    renderText(svg, (LEFT_MARGIN + WIDTH - RIGHT_MARGIN) / 2.0, HEIGHT - 12, "middle", labelX);
    renderText(svg, LEFT_MARGIN, TOP_MARGIN - 8, "middle", labelY);
    if (barValues.isEmpty()) {
      renderLines(svg);
    } else {
      renderBars(svg);
    }
    return svg.append("</svg>\n").toString();
  }

  private void renderLines(StringBuilder svg) {
    double maxX = 0;
    double minX = Double.MAX_VALUE;
    double maxY = 0;
    for (Series s : series) {
      for (int i = 0; i < s.xs.length; i++) {
        maxX = Math.max(maxX, s.xs[i]);
        minX = Math.min(minX, s.xs[i]);
        maxY = Math.max(maxY, s.ys[i]);
      }
    }
    renderAxes(svg, maxY);
    for (int t = 0; t <= TICK_COUNT; t++) {
      double value = minX + (maxX - minX) * t / TICK_COUNT;
      renderText(
          svg,
          toPixelX(value, minX, maxX),
          HEIGHT - BOTTOM_MARGIN + 16,
          "middle",
          formatNumber(value));
    }
    for (int n = 0; n < series.size(); n++) {
      Series s = series.get(n);
      StringBuilder points = new StringBuilder();
      for (int i = 0; i < s.xs.length; i++) {
        points.append(formatNumber(toPixelX(s.xs[i], minX, maxX))).append(',');
        points.append(formatNumber(toPixelY(s.ys[i], maxY))).append(' ');
      }
      String color = COLORS[n % COLORS.length];
      svg.append("<polyline fill=\"none\" stroke-width=\"2\" stroke=\"").append(color);
      svg.append("\" points=\"").append(points.toString().trim()).append("\"/>\n");
      renderLegendEntry(svg, n, color, s.name);
    }
  }

  private void renderBars(StringBuilder svg) {
    double max = 0;
    for (double value : barValues) {
      max = Math.max(max, value);
    }
    renderAxes(svg, max);
    double slotWidth = (WIDTH - LEFT_MARGIN - 20.0) / barValues.size();
    for (int i = 0; i < barValues.size(); i++) {
      double top = toPixelY(barValues.get(i), max);
      double left = LEFT_MARGIN + slotWidth * (i + 0.15);
      svg.append(
          String.format(
              Locale.ROOT,
              "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>%n",
              left,
              top,
              slotWidth * 0.7,
              HEIGHT - BOTTOM_MARGIN - top,
              COLORS[i % COLORS.length]));
      renderText(svg, left + slotWidth * 0.35, top - 4, "middle", formatNumber(barValues.get(i)));
      renderText(
          svg, left + slotWidth * 0.35, HEIGHT - BOTTOM_MARGIN + 16, "middle", barNames.get(i));
    }
  }

  private static void renderAxes(StringBuilder svg, double max) {
    for (int t = 0; t <= TICK_COUNT; t++) {
      double value = max * t / TICK_COUNT;
      renderText(svg, LEFT_MARGIN - 6, toPixelY(value, max) + 4, "end", formatNumber(value));
    }
    svg.append(
        String.format(
            Locale.ROOT,
            "<path d=\"M%d %d V%d H%d\" stroke=\"black\" fill=\"none\"/>%n",
            LEFT_MARGIN,
            TOP_MARGIN,
            HEIGHT - BOTTOM_MARGIN,
            WIDTH - 20));
  }

  private static void renderLegendEntry(StringBuilder svg, int row, String color, String name) {
    double y = TOP_MARGIN + 14 + row * 18.0;
    svg.append(
        String.format(
            Locale.ROOT,
            "<rect x=\"%d\" y=\"%.0f\" width=\"12\" height=\"4\" fill=\"%s\"/>%n",
            WIDTH - RIGHT_MARGIN + 16,
            y - 5,
            color));
    renderText(svg, WIDTH - RIGHT_MARGIN + 34, y, "start", name);
  }

  private static double toPixelX(double value, double min, double max) {
    double fraction = max == min ? 0.5 : (value - min) / (max - min);
    return LEFT_MARGIN + fraction * (WIDTH - LEFT_MARGIN - RIGHT_MARGIN);
  }

  private static double toPixelY(double value, double max) {
    return HEIGHT
        - BOTTOM_MARGIN
        - (max == 0 ? 0 : value / max) * (HEIGHT - TOP_MARGIN - BOTTOM_MARGIN);
  }

  private static void renderText(
      StringBuilder svg, double x, double y, String anchor, String text) {
    svg.append(
        String.format(
            Locale.ROOT, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">", x, y, anchor));
    svg.append(text.replace("&", "&amp;").replace("<", "&lt;")).append("</text>\n");
  }

  private static String formatNumber(double value) {
    if (Math.abs(value) >= 100) {
      return String.format(Locale.ROOT, "%.0f", value);
    }
    return String.format(Locale.ROOT, Math.abs(value) >= 10 ? "%.1f" : "%.2f", value);
  }
}
