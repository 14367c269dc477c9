package org.medlarhook.protocol;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Served by each sidecar for its one upstream.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class SidecarServiceGrpc {

  private SidecarServiceGrpc() {}

  public static final String SERVICE_NAME = "medlarhook.inner.v1.SidecarService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.medlarhook.protocol.GenerateRequest,
      org.medlarhook.protocol.GenerateEvent> getGenerateMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Generate",
      requestType = org.medlarhook.protocol.GenerateRequest.class,
      responseType = org.medlarhook.protocol.GenerateEvent.class,
      methodType = io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
  public static io.grpc.MethodDescriptor<org.medlarhook.protocol.GenerateRequest,
      org.medlarhook.protocol.GenerateEvent> getGenerateMethod() {
    io.grpc.MethodDescriptor<org.medlarhook.protocol.GenerateRequest, org.medlarhook.protocol.GenerateEvent> getGenerateMethod;
    if ((getGenerateMethod = SidecarServiceGrpc.getGenerateMethod) == null) {
      synchronized (SidecarServiceGrpc.class) {
        if ((getGenerateMethod = SidecarServiceGrpc.getGenerateMethod) == null) {
          SidecarServiceGrpc.getGenerateMethod = getGenerateMethod =
              io.grpc.MethodDescriptor.<org.medlarhook.protocol.GenerateRequest, org.medlarhook.protocol.GenerateEvent>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Generate"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.medlarhook.protocol.GenerateRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.medlarhook.protocol.GenerateEvent.getDefaultInstance()))
              .setSchemaDescriptor(new SidecarServiceMethodDescriptorSupplier("Generate"))
              .build();
        }
      }
    }
    return getGenerateMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.medlarhook.protocol.ServiceCall,
      org.medlarhook.protocol.ServiceAnswer> getCallServiceMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "CallService",
      requestType = org.medlarhook.protocol.ServiceCall.class,
      responseType = org.medlarhook.protocol.ServiceAnswer.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.medlarhook.protocol.ServiceCall,
      org.medlarhook.protocol.ServiceAnswer> getCallServiceMethod() {
    io.grpc.MethodDescriptor<org.medlarhook.protocol.ServiceCall, org.medlarhook.protocol.ServiceAnswer> getCallServiceMethod;
    if ((getCallServiceMethod = SidecarServiceGrpc.getCallServiceMethod) == null) {
      synchronized (SidecarServiceGrpc.class) {
        if ((getCallServiceMethod = SidecarServiceGrpc.getCallServiceMethod) == null) {
          SidecarServiceGrpc.getCallServiceMethod = getCallServiceMethod =
              io.grpc.MethodDescriptor.<org.medlarhook.protocol.ServiceCall, org.medlarhook.protocol.ServiceAnswer>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "CallService"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.medlarhook.protocol.ServiceCall.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.medlarhook.protocol.ServiceAnswer.getDefaultInstance()))
              .setSchemaDescriptor(new SidecarServiceMethodDescriptorSupplier("CallService"))
              .build();
        }
      }
    }
    return getCallServiceMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.medlarhook.protocol.SealRequest,
      org.medlarhook.protocol.SealAnswer> getSealMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Seal",
      requestType = org.medlarhook.protocol.SealRequest.class,
      responseType = org.medlarhook.protocol.SealAnswer.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.medlarhook.protocol.SealRequest,
      org.medlarhook.protocol.SealAnswer> getSealMethod() {
    io.grpc.MethodDescriptor<org.medlarhook.protocol.SealRequest, org.medlarhook.protocol.SealAnswer> getSealMethod;
    if ((getSealMethod = SidecarServiceGrpc.getSealMethod) == null) {
      synchronized (SidecarServiceGrpc.class) {
        if ((getSealMethod = SidecarServiceGrpc.getSealMethod) == null) {
          SidecarServiceGrpc.getSealMethod = getSealMethod =
              io.grpc.MethodDescriptor.<org.medlarhook.protocol.SealRequest, org.medlarhook.protocol.SealAnswer>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Seal"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.medlarhook.protocol.SealRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.medlarhook.protocol.SealAnswer.getDefaultInstance()))
              .setSchemaDescriptor(new SidecarServiceMethodDescriptorSupplier("Seal"))
              .build();
        }
      }
    }
    return getSealMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.medlarhook.protocol.WatchRequest,
      org.medlarhook.protocol.UpstreamStatus> getWatchMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Watch",
      requestType = org.medlarhook.protocol.WatchRequest.class,
      responseType = org.medlarhook.protocol.UpstreamStatus.class,
      methodType = io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
  public static io.grpc.MethodDescriptor<org.medlarhook.protocol.WatchRequest,
      org.medlarhook.protocol.UpstreamStatus> getWatchMethod() {
    io.grpc.MethodDescriptor<org.medlarhook.protocol.WatchRequest, org.medlarhook.protocol.UpstreamStatus> getWatchMethod;
    if ((getWatchMethod = SidecarServiceGrpc.getWatchMethod) == null) {
      synchronized (SidecarServiceGrpc.class) {
        if ((getWatchMethod = SidecarServiceGrpc.getWatchMethod) == null) {
          SidecarServiceGrpc.getWatchMethod = getWatchMethod =
              io.grpc.MethodDescriptor.<org.medlarhook.protocol.WatchRequest, org.medlarhook.protocol.UpstreamStatus>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Watch"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.medlarhook.protocol.WatchRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.medlarhook.protocol.UpstreamStatus.getDefaultInstance()))
              .setSchemaDescriptor(new SidecarServiceMethodDescriptorSupplier("Watch"))
              .build();
        }
      }
    }
    return getWatchMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.medlarhook.protocol.OrderHint,
      org.medlarhook.protocol.OrderHintAck> getNotifyOrderMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "NotifyOrder",
      requestType = org.medlarhook.protocol.OrderHint.class,
      responseType = org.medlarhook.protocol.OrderHintAck.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.medlarhook.protocol.OrderHint,
      org.medlarhook.protocol.OrderHintAck> getNotifyOrderMethod() {
    io.grpc.MethodDescriptor<org.medlarhook.protocol.OrderHint, org.medlarhook.protocol.OrderHintAck> getNotifyOrderMethod;
    if ((getNotifyOrderMethod = SidecarServiceGrpc.getNotifyOrderMethod) == null) {
      synchronized (SidecarServiceGrpc.class) {
        if ((getNotifyOrderMethod = SidecarServiceGrpc.getNotifyOrderMethod) == null) {
          SidecarServiceGrpc.getNotifyOrderMethod = getNotifyOrderMethod =
              io.grpc.MethodDescriptor.<org.medlarhook.protocol.OrderHint, org.medlarhook.protocol.OrderHintAck>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "NotifyOrder"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.medlarhook.protocol.OrderHint.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.medlarhook.protocol.OrderHintAck.getDefaultInstance()))
              .setSchemaDescriptor(new SidecarServiceMethodDescriptorSupplier("NotifyOrder"))
              .build();
        }
      }
    }
    return getNotifyOrderMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.medlarhook.protocol.ReceiptsRequest,
      org.medlarhook.protocol.ReceiptsPage> getPullReceiptsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "PullReceipts",
      requestType = org.medlarhook.protocol.ReceiptsRequest.class,
      responseType = org.medlarhook.protocol.ReceiptsPage.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.medlarhook.protocol.ReceiptsRequest,
      org.medlarhook.protocol.ReceiptsPage> getPullReceiptsMethod() {
    io.grpc.MethodDescriptor<org.medlarhook.protocol.ReceiptsRequest, org.medlarhook.protocol.ReceiptsPage> getPullReceiptsMethod;
    if ((getPullReceiptsMethod = SidecarServiceGrpc.getPullReceiptsMethod) == null) {
      synchronized (SidecarServiceGrpc.class) {
        if ((getPullReceiptsMethod = SidecarServiceGrpc.getPullReceiptsMethod) == null) {
          SidecarServiceGrpc.getPullReceiptsMethod = getPullReceiptsMethod =
              io.grpc.MethodDescriptor.<org.medlarhook.protocol.ReceiptsRequest, org.medlarhook.protocol.ReceiptsPage>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "PullReceipts"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.medlarhook.protocol.ReceiptsRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.medlarhook.protocol.ReceiptsPage.getDefaultInstance()))
              .setSchemaDescriptor(new SidecarServiceMethodDescriptorSupplier("PullReceipts"))
              .build();
        }
      }
    }
    return getPullReceiptsMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static SidecarServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<SidecarServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<SidecarServiceStub>() {
        @java.lang.Override
        public SidecarServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new SidecarServiceStub(channel, callOptions);
        }
      };
    return SidecarServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static SidecarServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<SidecarServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<SidecarServiceBlockingStub>() {
        @java.lang.Override
        public SidecarServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new SidecarServiceBlockingStub(channel, callOptions);
        }
      };
    return SidecarServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static SidecarServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<SidecarServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<SidecarServiceFutureStub>() {
        @java.lang.Override
        public SidecarServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new SidecarServiceFutureStub(channel, callOptions);
        }
      };
    return SidecarServiceFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Served by each sidecar for its one upstream.
   * </pre>
   */
  public static abstract class SidecarServiceImplBase implements io.grpc.BindableService {

    /**
     * <pre>
     * Runs one generation attempt and streams its events. Cancelling the call cancels the upstream's work.
     * </pre>
     */
    public void generate(org.medlarhook.protocol.GenerateRequest request,
        io.grpc.stub.StreamObserver<org.medlarhook.protocol.GenerateEvent> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getGenerateMethod(), responseObserver);
    }

    /**
     * <pre>
     * Runs one attempt of a plain service call.
     * </pre>
     */
    public void callService(org.medlarhook.protocol.ServiceCall request,
        io.grpc.stub.StreamObserver<org.medlarhook.protocol.ServiceAnswer> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getCallServiceMethod(), responseObserver);
    }

    /**
     * <pre>
     * Tells the fate of an attempt. An attempt that has not started is refused for good.
     * </pre>
     */
    public void seal(org.medlarhook.protocol.SealRequest request,
        io.grpc.stub.StreamObserver<org.medlarhook.protocol.SealAnswer> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getSealMethod(), responseObserver);
    }

    /**
     * <pre>
     * Streams the state of the upstream: at once, on each change, and as a heartbeat.
     * </pre>
     */
    public void watch(org.medlarhook.protocol.WatchRequest request,
        io.grpc.stub.StreamObserver<org.medlarhook.protocol.UpstreamStatus> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getWatchMethod(), responseObserver);
    }

    /**
     * <pre>
     * Hints that the order row has a new generation. The row, not the hint, is obeyed.
     * </pre>
     */
    public void notifyOrder(org.medlarhook.protocol.OrderHint request,
        io.grpc.stub.StreamObserver<org.medlarhook.protocol.OrderHintAck> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getNotifyOrderMethod(), responseObserver);
    }

    /**
     * <pre>
     * Returns usage receipts with a sequence number above the given one.
     * </pre>
     */
    public void pullReceipts(org.medlarhook.protocol.ReceiptsRequest request,
        io.grpc.stub.StreamObserver<org.medlarhook.protocol.ReceiptsPage> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getPullReceiptsMethod(), responseObserver);
    }

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
          .addMethod(
            getGenerateMethod(),
            io.grpc.stub.ServerCalls.asyncServerStreamingCall(
              new MethodHandlers<
                org.medlarhook.protocol.GenerateRequest,
                org.medlarhook.protocol.GenerateEvent>(
                  this, METHODID_GENERATE)))
          .addMethod(
            getCallServiceMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.medlarhook.protocol.ServiceCall,
                org.medlarhook.protocol.ServiceAnswer>(
                  this, METHODID_CALL_SERVICE)))
          .addMethod(
            getSealMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.medlarhook.protocol.SealRequest,
                org.medlarhook.protocol.SealAnswer>(
                  this, METHODID_SEAL)))
          .addMethod(
            getWatchMethod(),
            io.grpc.stub.ServerCalls.asyncServerStreamingCall(
              new MethodHandlers<
                org.medlarhook.protocol.WatchRequest,
                org.medlarhook.protocol.UpstreamStatus>(
                  this, METHODID_WATCH)))
          .addMethod(
            getNotifyOrderMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.medlarhook.protocol.OrderHint,
                org.medlarhook.protocol.OrderHintAck>(
                  this, METHODID_NOTIFY_ORDER)))
          .addMethod(
            getPullReceiptsMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.medlarhook.protocol.ReceiptsRequest,
                org.medlarhook.protocol.ReceiptsPage>(
                  this, METHODID_PULL_RECEIPTS)))
          .build();
    }
  }

  /**
   * <pre>
   * Served by each sidecar for its one upstream.
   * </pre>
   */
  public static final class SidecarServiceStub extends io.grpc.stub.AbstractAsyncStub<SidecarServiceStub> {
    private SidecarServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected SidecarServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new SidecarServiceStub(channel, callOptions);
    }

    /**
     * <pre>
     * Runs one generation attempt and streams its events. Cancelling the call cancels the upstream's work.
     * </pre>
     */
    public void generate(org.medlarhook.protocol.GenerateRequest request,
        io.grpc.stub.StreamObserver<org.medlarhook.protocol.GenerateEvent> responseObserver) {
      io.grpc.stub.ClientCalls.asyncServerStreamingCall(
          getChannel().newCall(getGenerateMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Runs one attempt of a plain service call.
     * </pre>
     */
    public void callService(org.medlarhook.protocol.ServiceCall request,
        io.grpc.stub.StreamObserver<org.medlarhook.protocol.ServiceAnswer> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getCallServiceMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Tells the fate of an attempt. An attempt that has not started is refused for good.
     * </pre>
     */
    public void seal(org.medlarhook.protocol.SealRequest request,
        io.grpc.stub.StreamObserver<org.medlarhook.protocol.SealAnswer> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getSealMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Streams the state of the upstream: at once, on each change, and as a heartbeat.
     * </pre>
     */
    public void watch(org.medlarhook.protocol.WatchRequest request,
        io.grpc.stub.StreamObserver<org.medlarhook.protocol.UpstreamStatus> responseObserver) {
      io.grpc.stub.ClientCalls.asyncServerStreamingCall(
          getChannel().newCall(getWatchMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Hints that the order row has a new generation. The row, not the hint, is obeyed.
     * </pre>
     */
    public void notifyOrder(org.medlarhook.protocol.OrderHint request,
        io.grpc.stub.StreamObserver<org.medlarhook.protocol.OrderHintAck> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getNotifyOrderMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Returns usage receipts with a sequence number above the given one.
     * </pre>
     */
    public void pullReceipts(org.medlarhook.protocol.ReceiptsRequest request,
        io.grpc.stub.StreamObserver<org.medlarhook.protocol.ReceiptsPage> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getPullReceiptsMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * <pre>
   * Served by each sidecar for its one upstream.
   * </pre>
   */
  public static final class SidecarServiceBlockingStub extends io.grpc.stub.AbstractBlockingStub<SidecarServiceBlockingStub> {
    private SidecarServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected SidecarServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new SidecarServiceBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Runs one generation attempt and streams its events. Cancelling the call cancels the upstream's work.
     * </pre>
     */
    public java.util.Iterator<org.medlarhook.protocol.GenerateEvent> generate(
        org.medlarhook.protocol.GenerateRequest request) {
      return io.grpc.stub.ClientCalls.blockingServerStreamingCall(
          getChannel(), getGenerateMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Runs one attempt of a plain service call.
     * </pre>
     */
    public org.medlarhook.protocol.ServiceAnswer callService(org.medlarhook.protocol.ServiceCall request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getCallServiceMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Tells the fate of an attempt. An attempt that has not started is refused for good.
     * </pre>
     */
    public org.medlarhook.protocol.SealAnswer seal(org.medlarhook.protocol.SealRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getSealMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Streams the state of the upstream: at once, on each change, and as a heartbeat.
     * </pre>
     */
    public java.util.Iterator<org.medlarhook.protocol.UpstreamStatus> watch(
        org.medlarhook.protocol.WatchRequest request) {
      return io.grpc.stub.ClientCalls.blockingServerStreamingCall(
          getChannel(), getWatchMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Hints that the order row has a new generation. The row, not the hint, is obeyed.
     * </pre>
     */
    public org.medlarhook.protocol.OrderHintAck notifyOrder(org.medlarhook.protocol.OrderHint request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getNotifyOrderMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns usage receipts with a sequence number above the given one.
     * </pre>
     */
    public org.medlarhook.protocol.ReceiptsPage pullReceipts(org.medlarhook.protocol.ReceiptsRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getPullReceiptsMethod(), getCallOptions(), request);
    }
  }

  /**
   * <pre>
   * Served by each sidecar for its one upstream.
   * </pre>
   */
  public static final class SidecarServiceFutureStub extends io.grpc.stub.AbstractFutureStub<SidecarServiceFutureStub> {
    private SidecarServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected SidecarServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new SidecarServiceFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Runs one attempt of a plain service call.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.medlarhook.protocol.ServiceAnswer> callService(
        org.medlarhook.protocol.ServiceCall request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getCallServiceMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Tells the fate of an attempt. An attempt that has not started is refused for good.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.medlarhook.protocol.SealAnswer> seal(
        org.medlarhook.protocol.SealRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getSealMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Hints that the order row has a new generation. The row, not the hint, is obeyed.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.medlarhook.protocol.OrderHintAck> notifyOrder(
        org.medlarhook.protocol.OrderHint request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getNotifyOrderMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Returns usage receipts with a sequence number above the given one.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.medlarhook.protocol.ReceiptsPage> pullReceipts(
        org.medlarhook.protocol.ReceiptsRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getPullReceiptsMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_GENERATE = 0;
  private static final int METHODID_CALL_SERVICE = 1;
  private static final int METHODID_SEAL = 2;
  private static final int METHODID_WATCH = 3;
  private static final int METHODID_NOTIFY_ORDER = 4;
  private static final int METHODID_PULL_RECEIPTS = 5;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final SidecarServiceImplBase serviceImpl;
    private final int methodId;

    MethodHandlers(SidecarServiceImplBase serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_GENERATE:
          serviceImpl.generate((org.medlarhook.protocol.GenerateRequest) request,
              (io.grpc.stub.StreamObserver<org.medlarhook.protocol.GenerateEvent>) responseObserver);
          break;
        case METHODID_CALL_SERVICE:
          serviceImpl.callService((org.medlarhook.protocol.ServiceCall) request,
              (io.grpc.stub.StreamObserver<org.medlarhook.protocol.ServiceAnswer>) responseObserver);
          break;
        case METHODID_SEAL:
          serviceImpl.seal((org.medlarhook.protocol.SealRequest) request,
              (io.grpc.stub.StreamObserver<org.medlarhook.protocol.SealAnswer>) responseObserver);
          break;
        case METHODID_WATCH:
          serviceImpl.watch((org.medlarhook.protocol.WatchRequest) request,
              (io.grpc.stub.StreamObserver<org.medlarhook.protocol.UpstreamStatus>) responseObserver);
          break;
        case METHODID_NOTIFY_ORDER:
          serviceImpl.notifyOrder((org.medlarhook.protocol.OrderHint) request,
              (io.grpc.stub.StreamObserver<org.medlarhook.protocol.OrderHintAck>) responseObserver);
          break;
        case METHODID_PULL_RECEIPTS:
          serviceImpl.pullReceipts((org.medlarhook.protocol.ReceiptsRequest) request,
              (io.grpc.stub.StreamObserver<org.medlarhook.protocol.ReceiptsPage>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  private static abstract class SidecarServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    SidecarServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.medlarhook.protocol.Inner.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("SidecarService");
    }
  }

  private static final class SidecarServiceFileDescriptorSupplier
      extends SidecarServiceBaseDescriptorSupplier {
    SidecarServiceFileDescriptorSupplier() {}
  }

  private static final class SidecarServiceMethodDescriptorSupplier
      extends SidecarServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final String methodName;

    SidecarServiceMethodDescriptorSupplier(String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (SidecarServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new SidecarServiceFileDescriptorSupplier())
              .addMethod(getGenerateMethod())
              .addMethod(getCallServiceMethod())
              .addMethod(getSealMethod())
              .addMethod(getWatchMethod())
              .addMethod(getNotifyOrderMethod())
              .addMethod(getPullReceiptsMethod())
              .build();
        }
      }
    }
    return result;
  }
}
