package org.medlarhook.core.attempt

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.Transformer
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

private const val CHAIN_LENGTH = 50
private const val ATTEMPTS = 30
private const val SAMPLES = 200L
private val LIMITS = AttemptTableLimits(maxStateEntries = 4, maxFilterEntries = 12, maxAnswers = 2, maxAnswerBytes = 12)

/** An attempt and the incarnation that it was sent to. */
data class SentAttempt(
    val id: String,
    val incarnation: Long,
)

/** The test oracle: what happened to each attempt and what the table reported. A restart empties only the table. */
class TableModel(
    private val create: (Long) -> AttemptRegistry<String>,
) {
    private val sentAttempts = HashMap<Int, SentAttempt>()
    private val executions = HashMap<String, Int>()
    private val answers = HashMap<String, String>()
    private val running = HashSet<String>()
    private val sealed = HashSet<String>()
    private var incarnation = 1L
    private var oldestKept = incarnation
    private var table = create(incarnation)

    private fun sentAttempt(number: Int) = sentAttempts.getOrPut(number) { SentAttempt("attempt-$number", incarnation) }

    fun accept(number: Int) {
        val attempt = sentAttempt(number)
        val acceptance = table.accept(attempt.id, attempt.incarnation)
        if (attempt.incarnation != incarnation) assertNotEquals(Acceptance.ACCEPTED, acceptance)
        if (acceptance == Acceptance.WRONG_INCARNATION && attempt.incarnation >= oldestKept) recordNotRun(attempt.id)
        if (attempt.id in sealed) assertNotEquals(Acceptance.ACCEPTED, acceptance)
    }

    fun start(number: Int) {
        val id = sentAttempt(number).id
        if (!table.start(id)) return
        executions.merge(id, 1, Int::plus)
        assertEquals(1, executions[id], "$id was executed twice")
        assertTrue(id !in sealed, "$id was sealed, but runs")
        running += id
    }

    fun abandon(number: Int) {
        val id = sentAttempt(number).id
        if (table.abandon(id)) recordNotRun(id)
    }

    fun finish(number: Int) {
        val id = sentAttempt(number).id
        if (!running.remove(id)) return
        answers[id] = "answer of $id"
        table.finish(id, answers[id], answerBytes = number % 8L)
    }

    fun seal(number: Int) {
        val (id, sentIncarnation) = sentAttempt(number)
        when (val status = table.seal(id, sentIncarnation)) {
            AttemptStatus.Sealed -> recordNotRun(id)
            AttemptStatus.Running -> assertTrue(id in running, "$id is reported as running, but is not")
            is AttemptStatus.Finished -> {
                assertTrue(id !in running && executions[id] == 1, "$id is reported as finished, but is not")
                status.answer?.let { assertEquals(answers[id], it) }
            }
            AttemptStatus.Undetermined -> Unit
        }
        if (sentIncarnation < oldestKept) assertEquals(AttemptStatus.Undetermined, table.seal(id, sentIncarnation))
    }

    fun renew() {
        incarnation++
        table.renew(incarnation)
    }

    fun restart() {
        incarnation++
        oldestKept = incarnation
        running.clear()
        table = create(incarnation)
    }

    private fun recordNotRun(id: String) {
        assertTrue(id !in executions, "$id was executed, but is reported as not run")
        sealed += id
    }
}

class AttemptTableFuzz {
    @Property(tries = 1_500, seed = "31")
    fun `Given any order of calls, then no attempt runs twice and no sealed one runs`(
        @ForAll("chains") chain: ActionChain<TableModel>,
    ) {
        chain.run()
    }

    @Property(tries = 1, seed = "32")
    fun `Given a table that drops old attempts, then the oracle detects it`() {
        assertDetected { DroppingTable(AttemptTable(it, LIMITS), it) }
    }

    @Property(tries = 1, seed = "33")
    fun `Given a table that seals running attempts, then the oracle detects it`() {
        assertDetected { SealingRunningTable(AttemptTable(it, LIMITS)) }
    }

    @Property(tries = 1, seed = "34")
    fun `Given a table that ignores the incarnation, then the oracle detects it`() {
        assertDetected { real -> AnyIncarnationTable(AttemptTable(real, LIMITS), real) }
    }

    @Provide
    fun chains(): Arbitrary<ActionChain<TableModel>> = chainsOver { AttemptTable(it, LIMITS) }

    private fun assertDetected(create: (Long) -> AttemptRegistry<String>) {
        assertTrue(countFailures { AttemptTable(it, LIMITS) } == 0L, "a chain fails without the injected fault")
        assertTrue(countFailures(create) > 0, "none of $SAMPLES chains detected the injected fault")
    }

    private fun countFailures(create: (Long) -> AttemptRegistry<String>): Long =
        chainsOver(create).sampleStream().limit(SAMPLES).filter { runCatching { it.run() }.isFailure }.count()

    private fun chainsOver(create: (Long) -> AttemptRegistry<String>): Arbitrary<ActionChain<TableModel>> =
        ActionChain
            .startWith { TableModel(create) }
            .withAction(4, step("accept", TableModel::accept))
            .withAction(4, step("start", TableModel::start))
            .withAction(1, step("abandon", TableModel::abandon))
            .withAction(3, step("finish", TableModel::finish))
            .withAction(3, step("seal", TableModel::seal))
            .withAction(1, step("restart") { if (it == 0) restart() })
            .withAction(1, step("renew") { if (it == 1) renew() })
            .withMaxTransformations(CHAIN_LENGTH)

    private fun step(name: String, run: TableModel.(Int) -> Unit): Action.Independent<TableModel> =
        Action.Independent {
            Arbitraries
                .oneOf(Arbitraries.integers().between(0, 5), Arbitraries.integers().between(0, ATTEMPTS))
                .map { number -> Transformer.mutate("$name $number") { it.run(number) } }
        }
}

private class DroppingTable(
    private val first: AttemptRegistry<String>,
    private val incarnation: Long,
) : AttemptRegistry<String> by first {
    private var table = first
    private var calls = 0

    override fun accept(attemptId: String, incarnation: Long): Acceptance {
        if (++calls % 8 == 0) table = AttemptTable(this.incarnation, LIMITS)
        return table.accept(attemptId, incarnation)
    }

    override fun start(attemptId: String) = table.start(attemptId)

    override fun finish(attemptId: String, answer: String?, answerBytes: Long) {
        runCatching { table.finish(attemptId, answer, answerBytes) }
    }
}

private class SealingRunningTable(
    private val table: AttemptRegistry<String>,
) : AttemptRegistry<String> by table {
    override fun seal(attemptId: String, incarnation: Long): AttemptStatus<String> =
        table.seal(attemptId, incarnation).let { if (it == AttemptStatus.Running) AttemptStatus.Sealed else it }
}

private class AnyIncarnationTable(
    private val table: AttemptRegistry<String>,
    private val own: Long,
) : AttemptRegistry<String> by table {
    override fun accept(attemptId: String, incarnation: Long) = table.accept(attemptId, own)

    override fun seal(attemptId: String, incarnation: Long) = table.seal(attemptId, own)
}
