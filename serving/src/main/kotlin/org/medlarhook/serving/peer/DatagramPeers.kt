package org.medlarhook.serving.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import org.medlarhook.core.routing.RendezvousHash
import org.medlarhook.core.row.RowJson
import org.medlarhook.core.serving.allowance.AllowanceUse
import org.medlarhook.core.serving.fleet.Endpoint
import org.medlarhook.core.serving.resume.BegunStream
import org.medlarhook.ports.TimeSource
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.serving.allowance.AllowancePeers
import org.medlarhook.serving.allowance.AllowanceReport
import org.medlarhook.serving.allowance.Allowances
import org.medlarhook.serving.crash.CrashPeers
import org.medlarhook.serving.crash.CrashReport
import org.medlarhook.serving.crash.CrashedSuspect
import org.medlarhook.serving.crash.SoundSuspect
import org.medlarhook.serving.crash.UpstreamCrash
import org.medlarhook.serving.crash.UpstreamCrashes
import org.medlarhook.serving.process.LogThrottle
import java.net.InetSocketAddress
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * Exchanges [PeerMessage]s with the other processes as datagrams. Used on [loop] only.
 *
 * A datagram may be lost: each stream is told to [HOLDERS] processes, a question that stays unanswered ends after
 * [ANSWER_TIMEOUT_MS], and a process that misses a limit learns it from the upstream's next answer.
 *
 * @param onLimit called with each limit that another process has told of.
 * @param crashes exchanges with the other processes what crashes upstreams.
 * @param allowances exchanges with them what they use of allowances.
 */
internal class DatagramPeers(
    private val loop: EventLoop,
    private val address: Endpoint,
    private val listener: PeerListener,
    private val time: TimeSource,
    private val onLimit: (LimitReport) -> Unit,
    private val crashes: UpstreamCrashes,
    private val allowances: Allowances,
) : StreamPeers, LimitPeers, CrashPeers, AllowancePeers {
    @Volatile
    private var channel: Channel? = null
    private var peers: List<InetSocketAddress> = emptyList()
    private val newcomers = Newcomers()
    private val untold = ArrayList<BegunStream>()
    private val openQuestions = HashMap<Long, OpenQuestion>()
    private var nextQuestion = Random.nextLong()
    private val unreadableLines = LogThrottle()

    private class OpenQuestion(
        var awaited: Int,
        val timeout: Future<*>,
        val onAnswer: (OriginReport?) -> Unit,
    ) {
        val answers = ArrayList<OriginReport>()
    }

    /** Opens the socket; without it, streams of other processes are unknown and the process serves on. */
    fun open() {
        val bound =
            Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel::class.java)
                .handler(Receiver())
                .bind(address.host, address.port)
                .awaitUninterruptibly()
        if (bound.isSuccess) {
            channel = bound.channel()
        } else {
            logger.warnEvent(LogEvent.PEERS_UNREACHABLE, "address" to "$address", "cause" to "${bound.cause()}")
        }
    }

    /** Loads the classes of the messages, on any thread: the first message would otherwise hold up the event loop. */
    fun loadSerializers() {
        val crashed = CrashedSuspect("part", listOf(UpstreamCrash("engine", 0, 0)))
        val sample = PeerMessage.CrashesReported(CrashReport(listOf(crashed), listOf(SoundSuspect("part", 0))))
        RowJson.decode<PeerMessage>(RowJson.encode<PeerMessage>(sample))
        val use = PeerMessage.AllowancesUsed(AllowanceReport("process", listOf(AllowanceUse("workspace"))))
        RowJson.decode<PeerMessage>(RowJson.encode<PeerMessage>(use))
    }

    /** The address at which this process can be reached, or null if the socket could not be opened. */
    val boundAddress: Endpoint? get() = address.takeIf { channel != null }

    /** Sets the addresses of all serving processes; this one is left out. */
    fun update(addresses: Collection<Endpoint>) {
        val known = peers.toSet()
        peers = addresses.filter { it != address }.map { InetSocketAddress(it.host, it.port) }
        val newcomers = peers.filter { it !in known }
        if (newcomers.isNotEmpty()) sendInParts(crashes.greeting(), newcomers)
    }

    override fun tell(stream: BegunStream) {
        if (peers.isEmpty()) return
        untold += stream
        if (untold.size == 1) loop.schedule({ tellAll() }, TELL_DELAY_MS, TimeUnit.MILLISECONDS)
    }

    override fun tell(report: LimitReport) = peers.forEach { send(PeerMessage.LimitChanged(report), it) }

    override fun tell(report: CrashReport) = sendInParts(report, peersAndNewcomers())

    override fun tellSome(report: CrashReport) = sendInParts(report, peersAndNewcomers().shuffled().take(REPEATS))

    override fun tell(report: AllowanceReport) {
        val parts = report.uses.chunked(USES_PER_MESSAGE).map { report.copy(uses = it) }.ifEmpty { listOf(report) }
        val receivers = peersAndNewcomers()
        parts.forEach { send(PeerMessage.AllowancesUsed(it), receivers) }
    }

    private fun peersAndNewcomers(): List<InetSocketAddress> =
        (peers + newcomers.at(time.monotonicMs())).distinct()

    private fun sendInParts(report: CrashReport, receivers: List<InetSocketAddress>) {
        val crashed = chunkedBySize(report.crashed).map { CrashReport(crashed = it) }
        val sound = report.sound.chunked(SOUND_PER_MESSAGE).map { CrashReport(sound = it) }
        val question = if (report.isQuestion) listOf(CrashReport(isQuestion = true)) else emptyList()
        val messages = (crashed + sound + question).map { PeerMessage.CrashesReported(it) }
        receivers.forEach { receiver -> messages.forEach { send(it, receiver) } }
    }

    /** The suspects in lists that each fit into a datagram. */
    private fun chunkedBySize(crashed: List<CrashedSuspect>): List<List<CrashedSuspect>> {
        val chunks = ArrayList<MutableList<CrashedSuspect>>()
        var left = 0
        crashed.forEach { suspect ->
            val size = suspect.crashes.size + 1
            if (size > left) {
                chunks += ArrayList<CrashedSuspect>()
                left = CRASHES_PER_MESSAGE
            }
            chunks.last() += suspect
            left -= size
        }
        return chunks
    }

    private fun tellAll() {
        val byHolder =
            untold.flatMap { stream ->
                holders(stream.attemptId).map { it to stream }
            }.groupBy({ it.first }) { it.second }
        untold.clear()
        byHolder.forEach { (holder, streams) ->
            streams.chunked(STREAMS_PER_MESSAGE).forEach { send(PeerMessage.StreamsBegan(it), holder) }
        }
    }

    private fun holders(attemptId: String): List<InetSocketAddress> =
        RendezvousHash.top(attemptId.hashCode().toLong(), peers, HOLDERS) { it.toString() }

    override fun ask(stream: StreamQuestion, onAnswer: (OriginReport?) -> Unit) {
        if (peers.isEmpty()) return onAnswer(null)
        val number = nextQuestion++
        val timeout = loop.schedule({ close(number) }, ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        openQuestions[number] = OpenQuestion(peers.size, timeout, onAnswer)
        peers.forEach { send(PeerMessage.OriginQuestion(number, stream), it) }
    }

    /** A recorded origin is certain. Otherwise all processes that answered must have the same one in mind. */
    private fun close(number: Long) {
        val open = openQuestions.remove(number) ?: return
        open.timeout.cancel(false)
        val recorded = open.answers.filter { it.isRecorded }.ifEmpty { open.answers }
        open.onAnswer(recorded.distinct().singleOrNull())
    }

    private fun send(message: PeerMessage, peer: InetSocketAddress) = send(message, listOf(peer))

    private fun send(message: PeerMessage, receivers: List<InetSocketAddress>) {
        val current = channel ?: return
        val bytes = Unpooled.copiedBuffer(RowJson.encode(message), Charsets.UTF_8)
        receivers.forEach { current.write(DatagramPacket(bytes.retainedDuplicate(), it)) }
        bytes.release()
        current.flush()
    }

    private fun received(message: PeerMessage, sender: InetSocketAddress) {
        when (message) {
            is PeerMessage.StreamsBegan -> message.streams.forEach { listener.began(it) }
            is PeerMessage.OriginQuestion ->
                send(PeerMessage.OriginAnswer(message.number, listener.originOf(message.stream)), sender)
            is PeerMessage.OriginAnswer -> answered(message)
            is PeerMessage.LimitChanged -> onLimit(message.report)
            is PeerMessage.CrashesReported -> {
                if (message.report.isQuestion) newcomers.greeted(sender, time.monotonicMs())
                crashes.told(message.report)?.let { sendInParts(it, listOf(sender)) }
            }
            is PeerMessage.AllowancesUsed -> {
                if (sender !in peers) newcomers.greeted(sender, time.monotonicMs())
                allowances.told(message.report)
            }
        }
    }

    private fun answered(message: PeerMessage.OriginAnswer) {
        val open = openQuestions[message.number] ?: return
        open.awaited--
        message.answer?.let { open.answers += it }
        if (message.answer?.isRecorded == true || open.awaited == 0) close(message.number)
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(ctx: ChannelHandlerContext, packet: DatagramPacket) {
            val text = packet.content().toString(Charsets.UTF_8)
            runCatching { RowJson.decode<PeerMessage>(text) }.fold(
                { message ->
                    runCatching { received(message, packet.sender()) }.onFailure { logUnreadable(packet.sender(), it) }
                },
                { logUnreadable(packet.sender(), it) },
            )
        }

        private fun logUnreadable(sender: InetSocketAddress, failure: Throwable) {
            if (!unreadableLines.permits(time.monotonicMs())) return
            val cause = "$failure".take(MAX_CAUSE_CHARS)
            logger.warnEvent(LogEvent.PEER_MESSAGE_UNREADABLE, "from" to "$sender", "cause" to cause)
        }

        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            logger.warnEvent(LogEvent.PEERS_UNREACHABLE, "address" to "$address", "cause" to "$cause")
        }
    }

    private companion object {
        /** Processes that keep each stream: more than one, so that it survives a lost datagram or process. */
        const val HOLDERS = 2

        /** Collects the streams of a busy process into few datagrams. */
        const val TELL_DELAY_MS = 20L

        /** Keeps a datagram below the usual packet size of 1,500 bytes with identifiers of the greatest length. */
        const val STREAMS_PER_MESSAGE = 4

        /** Keep a datagram below the same size with identifiers as long as those of the platform. */
        const val CRASHES_PER_MESSAGE = 14
        const val SOUND_PER_MESSAGE = 12

        /** Keeps a datagram below the same size with names of workspaces as long as those of the platform. */
        const val USES_PER_MESSAGE = 10

        /** Processes to which evidence of crashes is repeated each time. */
        const val REPEATS = 3

        const val MAX_CAUSE_CHARS = 300

        /** A round trip between regions and a pause of a busy process; the caller waits meanwhile. */
        const val ANSWER_TIMEOUT_MS = 150L
    }
}
