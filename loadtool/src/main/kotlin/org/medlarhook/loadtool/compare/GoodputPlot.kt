package org.medlarhook.loadtool.compare

import org.medlarhook.loadtool.run.LoadResult

/** Plots the goodput of runs over time as SVG. */
internal object GoodputPlot {
    private const val WIDTH = 900
    private const val HEIGHT = 420
    private const val LEFT = 60
    private const val TOP = 30
    private const val PLOT_WIDTH = 620
    private const val PLOT_HEIGHT = 330
    private const val LEGEND_STEP = 20
    private const val GRID_LINES = 4
    private const val PERCENT = 100
    private const val LABEL_GAP = 8
    private const val TITLE_GAP = 10
    private const val LEGEND_GAP = 15
    private val COLOURS = listOf("#1b6ca8", "#c8553d", "#3a7d44", "#8e5ea2", "#b8860b", "#555555")

    /** An SVG document with one line per run. */
    fun of(results: List<LoadResult>): String {
        val endS = results.flatMap { it.intervals }.maxOfOrNull { it.fromS }?.coerceAtLeast(1) ?: 1
        val lines = results.mapIndexed { index, result -> line(result, index, endS) }
        return """<svg xmlns="http://www.w3.org/2000/svg" width="$WIDTH" height="$HEIGHT" font-family="sans-serif" """ +
            """font-size="12"><rect width="$WIDTH" height="$HEIGHT" fill="white"/>${grid(
                endS,
            )}${lines.joinToString("")}</svg>"""
    }

    private fun grid(endS: Int): String {
        val rows = (0..GRID_LINES).joinToString("") { step ->
            val y = y(step.toDouble() / GRID_LINES)
            val percent = step * PERCENT / GRID_LINES
            """<line x1="$LEFT" x2="${LEFT + PLOT_WIDTH}" y1="$y" y2="$y" stroke="#dddddd"/>""" +
                """<text x="${LEFT - LABEL_GAP}" y="${y + TITLE_GAP / 2}" text-anchor="end">$percent%</text>"""
        }
        return rows +
            """<text x="$LEFT" y="${TOP - TITLE_GAP}">Whole answers in time, share of the requests</text>""" +
            """<text x="${LEFT + PLOT_WIDTH}" y="${TOP + PLOT_HEIGHT + LEGEND_STEP}" text-anchor="end">$endS s</text>"""
    }

    private fun line(result: LoadResult, index: Int, endS: Int): String {
        val colour = COLOURS[index % COLOURS.size]
        val points = result.intervals.joinToString(" ") { interval ->
            val share = interval.good.toDouble() / interval.offered.coerceAtLeast(1)
            "${LEFT + interval.fromS * PLOT_WIDTH / endS},${y(share)}"
        }
        val legendY = TOP + LEGEND_STEP * (index + 1)
        return """<polyline points="$points" fill="none" stroke="$colour" stroke-width="2"/>""" +
            """<text x="${LEFT + PLOT_WIDTH + LEGEND_GAP}" y="$legendY" fill="$colour">""" +
            "${result.label} (seed ${result.seed})</text>"
    }

    private fun y(share: Double): Int = TOP + PLOT_HEIGHT - (share * PLOT_HEIGHT).toInt()
}
