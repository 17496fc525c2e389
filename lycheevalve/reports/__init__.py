"""Error-budget reports and latency histograms for operators."""
