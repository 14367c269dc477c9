package org.medlarhook.protocol;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Served by each entry for its peers.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class EntryServiceGrpc {

  private EntryServiceGrpc() {}

  public static final String SERVICE_NAME = "medlarhook.inner.v1.EntryService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.medlarhook.protocol.DirectoryDigest,
      org.medlarhook.protocol.DirectoryDigest> getExchangeDigestMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ExchangeDigest",
      requestType = org.medlarhook.protocol.DirectoryDigest.class,
      responseType = org.medlarhook.protocol.DirectoryDigest.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.medlarhook.protocol.DirectoryDigest,
      org.medlarhook.protocol.DirectoryDigest> getExchangeDigestMethod() {
    io.grpc.MethodDescriptor<org.medlarhook.protocol.DirectoryDigest, org.medlarhook.protocol.DirectoryDigest> getExchangeDigestMethod;
    if ((getExchangeDigestMethod = EntryServiceGrpc.getExchangeDigestMethod) == null) {
      synchronized (EntryServiceGrpc.class) {
        if ((getExchangeDigestMethod = EntryServiceGrpc.getExchangeDigestMethod) == null) {
          EntryServiceGrpc.getExchangeDigestMethod = getExchangeDigestMethod =
              io.grpc.MethodDescriptor.<org.medlarhook.protocol.DirectoryDigest, org.medlarhook.protocol.DirectoryDigest>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ExchangeDigest"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.medlarhook.protocol.DirectoryDigest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.medlarhook.protocol.DirectoryDigest.getDefaultInstance()))
              .setSchemaDescriptor(new EntryServiceMethodDescriptorSupplier("ExchangeDigest"))
              .build();
        }
      }
    }
    return getExchangeDigestMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.medlarhook.protocol.ChangesRequest,
      org.medlarhook.protocol.ChangesPage> getFetchChangesMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "FetchChanges",
      requestType = org.medlarhook.protocol.ChangesRequest.class,
      responseType = org.medlarhook.protocol.ChangesPage.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.medlarhook.protocol.ChangesRequest,
      org.medlarhook.protocol.ChangesPage> getFetchChangesMethod() {
    io.grpc.MethodDescriptor<org.medlarhook.protocol.ChangesRequest, org.medlarhook.protocol.ChangesPage> getFetchChangesMethod;
    if ((getFetchChangesMethod = EntryServiceGrpc.getFetchChangesMethod) == null) {
      synchronized (EntryServiceGrpc.class) {
        if ((getFetchChangesMethod = EntryServiceGrpc.getFetchChangesMethod) == null) {
          EntryServiceGrpc.getFetchChangesMethod = getFetchChangesMethod =
              io.grpc.MethodDescriptor.<org.medlarhook.protocol.ChangesRequest, org.medlarhook.protocol.ChangesPage>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "FetchChanges"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.medlarhook.protocol.ChangesRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.medlarhook.protocol.ChangesPage.getDefaultInstance()))
              .setSchemaDescriptor(new EntryServiceMethodDescriptorSupplier("FetchChanges"))
              .build();
        }
      }
    }
    return getFetchChangesMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.medlarhook.protocol.ReceiptsPage,
      org.medlarhook.protocol.ReceiptsAck> getOfferReceiptsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "OfferReceipts",
      requestType = org.medlarhook.protocol.ReceiptsPage.class,
      responseType = org.medlarhook.protocol.ReceiptsAck.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.medlarhook.protocol.ReceiptsPage,
      org.medlarhook.protocol.ReceiptsAck> getOfferReceiptsMethod() {
    io.grpc.MethodDescriptor<org.medlarhook.protocol.ReceiptsPage, org.medlarhook.protocol.ReceiptsAck> getOfferReceiptsMethod;
    if ((getOfferReceiptsMethod = EntryServiceGrpc.getOfferReceiptsMethod) == null) {
      synchronized (EntryServiceGrpc.class) {
        if ((getOfferReceiptsMethod = EntryServiceGrpc.getOfferReceiptsMethod) == null) {
          EntryServiceGrpc.getOfferReceiptsMethod = getOfferReceiptsMethod =
              io.grpc.MethodDescriptor.<org.medlarhook.protocol.ReceiptsPage, org.medlarhook.protocol.ReceiptsAck>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "OfferReceipts"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.medlarhook.protocol.ReceiptsPage.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.medlarhook.protocol.ReceiptsAck.getDefaultInstance()))
              .setSchemaDescriptor(new EntryServiceMethodDescriptorSupplier("OfferReceipts"))
              .build();
        }
      }
    }
    return getOfferReceiptsMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static EntryServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<EntryServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<EntryServiceStub>() {
        @java.lang.Override
        public EntryServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new EntryServiceStub(channel, callOptions);
        }
      };
    return EntryServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static EntryServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<EntryServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<EntryServiceBlockingStub>() {
        @java.lang.Override
        public EntryServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new EntryServiceBlockingStub(channel, callOptions);
        }
      };
    return EntryServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static EntryServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<EntryServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<EntryServiceFutureStub>() {
        @java.lang.Override
        public EntryServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new EntryServiceFutureStub(channel, callOptions);
        }
      };
    return EntryServiceFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Served by each entry for its peers.
   * </pre>
   */
  public static abstract class EntryServiceImplBase implements io.grpc.BindableService {

    /**
     * <pre>
     * Exchanges directory versions and the age of the newest information from the tables.
     * </pre>
     */
    public void exchangeDigest(org.medlarhook.protocol.DirectoryDigest request,
        io.grpc.stub.StreamObserver<org.medlarhook.protocol.DirectoryDigest> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getExchangeDigestMethod(), responseObserver);
    }

    /**
     * <pre>
     * Returns directory changes above a version.
     * </pre>
     */
    public void fetchChanges(org.medlarhook.protocol.ChangesRequest request,
        io.grpc.stub.StreamObserver<org.medlarhook.protocol.ChangesPage> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getFetchChangesMethod(), responseObserver);
    }

    /**
     * <pre>
     * Offers copies of receipts that no collector has acknowledged.
     * </pre>
     */
    public void offerReceipts(org.medlarhook.protocol.ReceiptsPage request,
        io.grpc.stub.StreamObserver<org.medlarhook.protocol.ReceiptsAck> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getOfferReceiptsMethod(), responseObserver);
    }

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
          .addMethod(
            getExchangeDigestMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.medlarhook.protocol.DirectoryDigest,
                org.medlarhook.protocol.DirectoryDigest>(
                  this, METHODID_EXCHANGE_DIGEST)))
          .addMethod(
            getFetchChangesMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.medlarhook.protocol.ChangesRequest,
                org.medlarhook.protocol.ChangesPage>(
                  this, METHODID_FETCH_CHANGES)))
          .addMethod(
            getOfferReceiptsMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.medlarhook.protocol.ReceiptsPage,
                org.medlarhook.protocol.ReceiptsAck>(
                  this, METHODID_OFFER_RECEIPTS)))
          .build();
    }
  }

  /**
   * <pre>
   * Served by each entry for its peers.
   * </pre>
   */
  public static final class EntryServiceStub extends io.grpc.stub.AbstractAsyncStub<EntryServiceStub> {
    private EntryServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected EntryServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new EntryServiceStub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges directory versions and the age of the newest information from the tables.
     * </pre>
     */
    public void exchangeDigest(org.medlarhook.protocol.DirectoryDigest request,
        io.grpc.stub.StreamObserver<org.medlarhook.protocol.DirectoryDigest> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getExchangeDigestMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Returns directory changes above a version.
     * </pre>
     */
    public void fetchChanges(org.medlarhook.protocol.ChangesRequest request,
        io.grpc.stub.StreamObserver<org.medlarhook.protocol.ChangesPage> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getFetchChangesMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Offers copies of receipts that no collector has acknowledged.
     * </pre>
     */
    public void offerReceipts(org.medlarhook.protocol.ReceiptsPage request,
        io.grpc.stub.StreamObserver<org.medlarhook.protocol.ReceiptsAck> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getOfferReceiptsMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * <pre>
   * Served by each entry for its peers.
   * </pre>
   */
  public static final class EntryServiceBlockingStub extends io.grpc.stub.AbstractBlockingStub<EntryServiceBlockingStub> {
    private EntryServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected EntryServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new EntryServiceBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges directory versions and the age of the newest information from the tables.
     * </pre>
     */
    public org.medlarhook.protocol.DirectoryDigest exchangeDigest(org.medlarhook.protocol.DirectoryDigest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getExchangeDigestMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns directory changes above a version.
     * </pre>
     */
    public org.medlarhook.protocol.ChangesPage fetchChanges(org.medlarhook.protocol.ChangesRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getFetchChangesMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Offers copies of receipts that no collector has acknowledged.
     * </pre>
     */
    public org.medlarhook.protocol.ReceiptsAck offerReceipts(org.medlarhook.protocol.ReceiptsPage request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getOfferReceiptsMethod(), getCallOptions(), request);
    }
  }

  /**
   * <pre>
   * Served by each entry for its peers.
   * </pre>
   */
  public static final class EntryServiceFutureStub extends io.grpc.stub.AbstractFutureStub<EntryServiceFutureStub> {
    private EntryServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected EntryServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new EntryServiceFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges directory versions and the age of the newest information from the tables.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.medlarhook.protocol.DirectoryDigest> exchangeDigest(
        org.medlarhook.protocol.DirectoryDigest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getExchangeDigestMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Returns directory changes above a version.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.medlarhook.protocol.ChangesPage> fetchChanges(
        org.medlarhook.protocol.ChangesRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getFetchChangesMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Offers copies of receipts that no collector has acknowledged.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.medlarhook.protocol.ReceiptsAck> offerReceipts(
        org.medlarhook.protocol.ReceiptsPage request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getOfferReceiptsMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_EXCHANGE_DIGEST = 0;
  private static final int METHODID_FETCH_CHANGES = 1;
  private static final int METHODID_OFFER_RECEIPTS = 2;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final EntryServiceImplBase serviceImpl;
    private final int methodId;

    MethodHandlers(EntryServiceImplBase serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_EXCHANGE_DIGEST:
          serviceImpl.exchangeDigest((org.medlarhook.protocol.DirectoryDigest) request,
              (io.grpc.stub.StreamObserver<org.medlarhook.protocol.DirectoryDigest>) responseObserver);
          break;
        case METHODID_FETCH_CHANGES:
          serviceImpl.fetchChanges((org.medlarhook.protocol.ChangesRequest) request,
              (io.grpc.stub.StreamObserver<org.medlarhook.protocol.ChangesPage>) responseObserver);
          break;
        case METHODID_OFFER_RECEIPTS:
          serviceImpl.offerReceipts((org.medlarhook.protocol.ReceiptsPage) request,
              (io.grpc.stub.StreamObserver<org.medlarhook.protocol.ReceiptsAck>) responseObserver);
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

  private static abstract class EntryServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    EntryServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.medlarhook.protocol.Inner.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("EntryService");
    }
  }

  private static final class EntryServiceFileDescriptorSupplier
      extends EntryServiceBaseDescriptorSupplier {
    EntryServiceFileDescriptorSupplier() {}
  }

  private static final class EntryServiceMethodDescriptorSupplier
      extends EntryServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final String methodName;

    EntryServiceMethodDescriptorSupplier(String methodName) {
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
      synchronized (EntryServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new EntryServiceFileDescriptorSupplier())
              .addMethod(getExchangeDigestMethod())
              .addMethod(getFetchChangesMethod())
              .addMethod(getOfferReceiptsMethod())
              .build();
        }
      }
    }
    return result;
  }
}
