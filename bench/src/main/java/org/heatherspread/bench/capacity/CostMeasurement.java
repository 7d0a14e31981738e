package org.heatherspread.bench.capacity;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.Locale;

/**
 * A cost measured at several sizes and extrapolated to the design size. Immutable; the arrays must
 * not be modified.
 *
 * @param name measured quantity with its unit
 * @param sizeUnit unit of the sizes, such as daemons
 * @param sizes sizes at which the cost was measured
 * @param values measured value for each size
 * @param designSize size that the system is designed for
 * @param budget maximum value at the design size; NaN if there is no budget
 */
@SuppressWarnings("ArrayRecordComponent")
record CostMeasurement(
    String name,
    String sizeUnit,
    double[] sizes,
    double[] values,
    double designSize,
    double budget) {

  LinearFit linearFit() {
    return LinearFit.fit(sizes, values);
  }

  double valueAtDesignSize() {
    return linearFit().valueAt(designSize);
  }

  /** Returns whether the extrapolated cost is within the budget; always true without a budget. */
  boolean withinBudget() {
    return Double.isNaN(budget) || valueAtDesignSize() <= budget;
  }

  void print() {
    LinearFit fit = linearFit();
    System.out.printf(
        Locale.ROOT,
        "%-46s %-10s %-28s %12.5g %9.5g %6.3f %9.0f %12.5g %10s %s%n",
        name,
        sizeUnit,
        formatPoints(),
        fit.intercept(),
        fit.slope(),
        fit.coefficientOfDetermination(),
        designSize,
        valueAtDesignSize(),
        Double.isNaN(budget) ? "-" : String.format(Locale.ROOT, "%.5g", budget),
        Double.isNaN(budget) ? "" : withinBudget() ? "held" : "MISSED");
  }

  void writeTo(ObjectNode row) {
    LinearFit fit = linearFit();
    row.put("name", name).put("size", sizeUnit).put("design_size", designSize);
    Arrays.stream(sizes).forEach(row.putArray("sizes")::add);
    Arrays.stream(values).forEach(row.putArray("values")::add);
    row.put("base", fit.intercept())
        .put("per_unit", fit.slope())
        .put("fit", fit.coefficientOfDetermination());
    row.put("at_design_size", valueAtDesignSize()).put("held", withinBudget());
    if (!Double.isNaN(budget)) {
      row.put("budget", budget);
    }
  }

  private String formatPoints() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < sizes.length; i++) {
      text.append(i == 0 ? "" : " ");
      text.append(String.format(Locale.ROOT, "%.0f:%.4g", sizes[i], values[i]));
    }
    return text.toString();
  }
}
