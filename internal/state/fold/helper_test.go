package fold_test

import "hash/crc32"

func snapshotCRC(data []byte) uint32 { return crc32.ChecksumIEEE(data) }
