package org.medlarhook.harness.capacity

import kotlin.test.Test
import kotlin.test.assertEquals

class LinearFitTest {
    @Test
    fun `Given points on a line, then the fit is that line`() {
        val fit = LinearFit.through(listOf(1.0, 2.0, 5.0).map { FitPoint(it, 3 + 2 * it) })
        assertEquals(3.0, fit.intercept, TOLERANCE)
        assertEquals(2.0, fit.slope, TOLERANCE)
        assertEquals(0.0, fit.worstResidual, TOLERANCE)
    }

    @Test
    fun `Given a point off the line, then the worst residual is its distance`() {
        val fit = LinearFit.through(listOf(FitPoint(0.0, 0.0), FitPoint(1.0, 3.0), FitPoint(2.0, 0.0)))
        assertEquals(0.0, fit.slope, TOLERANCE)
        assertEquals(2.0, fit.worstResidual, TOLERANCE)
    }

    private companion object {
        const val TOLERANCE = 1e-9
    }
}
